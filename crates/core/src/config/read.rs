//! JSON to configuration types. Every finding is noted with its JSON path;
//! reading goes on after each.

use std::collections::BTreeMap;

use serde_json::{Map, Value};

use super::types::{Class, Config, Form, Patch, Pool, Search, Steer, Terms, Turn, Zone};
use crate::consts;
use crate::diagnostic::{Diagnostic, find};

/// Longest name of anything (bytes).
const NAME_LIMIT: usize = 128;

/// Parses the text and reads a whole configuration.
pub fn whole(text: &[u8]) -> Result<Config, Vec<Diagnostic>> {
    let mut all = Vec::new();
    let conf = match top(text, &["searches", "pools", "zones", "terms", "keep_zones"], &mut all) {
        Some(map) => {
            let mut conf = config(&map, &mut all);
            conf.keep_zones = map.get("keep_zones").and_then(Value::as_bool).unwrap_or(false);
            conf
        }
        None => Config::default(),
    };
    if all.is_empty() { Ok(conf) } else { Err(all) }
}

/// Parses the text and reads a partial configuration.
pub fn patch(text: &[u8]) -> Result<Patch, Vec<Diagnostic>> {
    let mut all = Vec::new();
    let mut out = Patch::default();
    if let Some(map) = top(text, &["searches", "pools", "zones", "terms", "remove"], &mut all) {
        out.set = config(&map, &mut all);
        if let Some(gone) = map.get("remove") {
            match gone.as_object() {
                None => find(&mut all, "remove", "expected an object of name lists"),
                Some(gone) => {
                    known(gone, "remove", &["searches", "pools", "zones"], &mut all);
                    out.drop_searches = names(gone, "searches", &mut all);
                    out.drop_pools = names(gone, "pools", &mut all);
                    out.drop_zones = names(gone, "zones", &mut all);
                }
            }
        }
    }
    if all.is_empty() { Ok(out) } else { Err(all) }
}

fn top(text: &[u8], keys: &[&str], all: &mut Vec<Diagnostic>) -> Option<Map<String, Value>> {
    match serde_json::from_slice::<Value>(text) {
        Err(e) => {
            find(all, format!("$:{}:{}", e.line(), e.column()), format!("not JSON: {e}"));
            None
        }
        Ok(Value::Object(map)) => {
            known(&map, "$", keys, all);
            Some(map)
        }
        Ok(_) => {
            find(all, "$", "expected an object");
            None
        }
    }
}

fn known(map: &Map<String, Value>, at: &str, keys: &[&str], all: &mut Vec<Diagnostic>) {
    for key in map.keys().filter(|k| !keys.contains(&k.as_str())) {
        let place = if at == "$" { key.clone() } else { format!("{at}.{key}") };
        find(all, place, format!("unknown field; known are {}", keys.join(", ")));
    }
}

fn names(map: &Map<String, Value>, key: &str, all: &mut Vec<Diagnostic>) -> Vec<String> {
    let at = format!("remove.{key}");
    let Some(val) = map.get(key) else { return Vec::new() };
    let Some(list) = val.as_array() else {
        find(all, at, "expected a list of names");
        return Vec::new();
    };
    let mut out = Vec::new();
    for (i, val) in list.iter().enumerate() {
        match val.as_str() {
            Some(s) => out.push(s.to_string()),
            None => find(all, format!("{at}[{i}]"), "expected a name"),
        }
    }
    out
}

fn config(map: &Map<String, Value>, all: &mut Vec<Diagnostic>) -> Config {
    Config {
        searches: list(map, "searches", all, search),
        pools: list(map, "pools", all, pool),
        zones: list(map, "zones", all, zone),
        turn: turn(map, all),
        ..Config::default()
    }
}

/// Reads what a change says of the terms.
fn turn(map: &Map<String, Value>, all: &mut Vec<Diagnostic>) -> Turn {
    let Some(val) = map.get("terms") else { return Turn::default() };
    let Some(map) = val.as_object() else {
        find(all, "terms", "expected an object");
        return Turn::default();
    };
    let mut o = Object { map, at: "terms".into(), all, seen: Vec::new() };
    let has = |key: &str| map.contains_key(key);
    let most = u64::MAX;
    let after = has("after").then(|| number(&mut o, "after", 0, most, None));
    let edition = has("edition").then(|| number(&mut o, "edition", 0, most, None));
    let sets = ["head_max", "body_max", "head_wait_ms", "idle_ms", "origin"];
    let terms = sets.iter().any(|k| has(k)).then(|| Terms {
        edition: 0,
        head_max: number(&mut o, "head_max", 0, most, Some(0)),
        body_max: number(&mut o, "body_max", 0, most, Some(0)),
        head_wait_ms: number(&mut o, "head_wait_ms", 0, most, Some(0)),
        idle_ms: number(&mut o, "idle_ms", 0, most, Some(0)),
        origin: text(&mut o, "origin", false),
    });
    known(map, "terms", &["after", "edition", sets[0], sets[1], sets[2], sets[3], sets[4]], all);
    Turn { after, edition, terms }
}

fn list<T>(
    map: &Map<String, Value>,
    key: &str,
    all: &mut Vec<Diagnostic>,
    read: impl Fn(&mut Object) -> Option<(String, T)>,
) -> BTreeMap<String, T> {
    let mut out = BTreeMap::new();
    let Some(val) = map.get(key) else { return out };
    let Some(items) = val.as_array() else {
        find(all, key, "expected a list");
        return out;
    };
    for (i, item) in items.iter().enumerate() {
        let at = format!("{key}[{i}]");
        let Some(map) = item.as_object() else {
            find(all, at, "expected an object");
            continue;
        };
        let mut obj = Object { map, at: at.clone(), all, seen: Vec::new() };
        let Some((name, val)) = read(&mut obj) else { continue };
        let seen = std::mem::take(&mut obj.seen);
        known(map, &at, &seen, all);
        if out.insert(name.clone(), val).is_some() {
            find(all, format!("{at}.name"), format!("`{name}` stands twice"));
        }
    }
    out
}

/// One JSON object being read: which fields were asked for, and the findings.
struct Object<'a> {
    map: &'a Map<String, Value>,
    at: String,
    all: &'a mut Vec<Diagnostic>,
    seen: Vec<&'static str>,
}

fn want(o: &mut Object, key: &'static str, text: impl Into<String>) {
    let place = format!("{}.{key}", o.at);
    find(o.all, place, text);
}

fn text(o: &mut Object, key: &'static str, need: bool) -> String {
    o.seen.push(key);
    match o.map.get(key) {
        Some(Value::String(s)) => return s.clone(),
        Some(_) => want(o, key, "expected a text"),
        None if need => want(o, key, "missing"),
        None => {}
    }
    String::new()
}

fn name(o: &mut Object, key: &'static str) -> String {
    let val = text(o, key, true);
    let fit = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if o.map.get(key).is_some_and(Value::is_string)
        && (val.is_empty() || val.len() > NAME_LIMIT || !val.chars().all(fit))
    {
        want(o, key, "a name has 1 to 128 letters, digits, `-`, `_` or `.`");
    }
    val
}

fn number(o: &mut Object, key: &'static str, low: u64, high: u64, fall: Option<u64>) -> u64 {
    o.seen.push(key);
    match (o.map.get(key), fall) {
        (None, Some(n)) => return n,
        (None, None) => want(o, key, "missing"),
        (Some(val), _) => match val.as_u64() {
            Some(n) if (low..=high).contains(&n) => return n,
            _ => want(o, key, format!("expected a whole number from {low} to {high}")),
        },
    }
    low
}

fn search(o: &mut Object) -> Option<(String, Search)> {
    let name = name(o, "name");
    let class = match text(o, "class", false).as_str() {
        "" | "ordinary" => Class::Ordinary,
        "lookup" => Class::Lookup,
        "urgent" => Class::Urgent,
        other => {
            want(o, "class", format!("`{other}` is not one of ordinary, lookup, urgent"));
            Class::Ordinary
        }
    };
    let form = match text(o, "form", false).as_str() {
        "" | "own" => Form::Own,
        "pass" => Form::Pass,
        "join" => Form::Join,
        other => {
            want(o, "form", format!("`{other}` is not one of own, pass, join"));
            Form::Own
        }
    };
    let (low, high) = match form {
        Form::Own => (consts::BUDGET_MIN_MS, consts::BUDGET_MAX_MS),
        _ => (1, consts::PROMISE_MAX_MS),
    };
    let promise_ms = number(o, "promise_ms", low, high, None);
    let attempts = number(o, "attempts", 1, consts::ATTEMPTS_MAX, Some(3)) as u32;
    o.seen.push("quorum");
    let quorum = match o.map.get("quorum").map(Value::as_f64) {
        None => 1000,
        Some(Some(q)) if (q > 0.0 || form != Form::Own && q == 0.0) && q <= 1.0 => {
            ((q * 1000.0).ceil() as u32).clamp(1, 1000)
        }
        Some(_) => {
            want(o, "quorum", "expected a share above 0 and up to 1");
            1000
        }
    };
    let plan = text(o, "plan", true);
    let host = text(o, "host", false);
    let path = text(o, "path", false);
    if host.is_empty() != path.is_empty() || (!path.is_empty() && !path.starts_with('/')) {
        want(o, "path", "a host and a path that begins with a slash go together");
    }
    if form != Form::Own && host.is_empty() {
        want(o, "host", "a search that hands calls over is found by host and path");
    }
    o.seen.push("once");
    let once = match o.map.get("once") {
        None => false,
        Some(Value::Bool(b)) => *b,
        Some(_) => {
            want(o, "once", "expected true or false");
            false
        }
    };
    if once && form != Form::Pass {
        want(o, "once", "only calls that are passed to one leaf can be kept from running twice");
    }
    let target_ms = number(o, "target_ms", 0, consts::PROMISE_MAX_MS, Some(0));
    let rank = number(o, "rank", 0, u64::from(u32::MAX), Some(0)) as u32;
    let width = number(o, "width", 1, 4_096, Some(1)) as u32;
    let top = number(o, "top", 1, 1_000_000, Some(u64::from(consts::RECORDS_DEFAULT))) as u32;
    o.seen.push("weights");
    let mut weights = BTreeMap::new();
    match o.map.get("weights") {
        None => {}
        Some(Value::Object(map)) => {
            for (key, val) in map {
                match val.as_u64().and_then(|n| u32::try_from(n).ok()) {
                    Some(n) => {
                        weights.insert(key.clone(), n);
                    }
                    None => {
                        let place = format!("{}.weights.{key}", o.at);
                        find(o.all, place, "expected a whole number");
                    }
                }
            }
        }
        Some(_) => want(o, "weights", "expected an object of numbers"),
    }
    let origin = text(o, "origin", false);
    let place = number(o, "place", 0, u64::from(u32::MAX), Some(0)) as u32;
    o.seen.push("needs");
    let mut needs = Vec::new();
    match o.map.get("needs") {
        None => {}
        Some(Value::Array(list)) if list.iter().all(Value::is_string) => {
            needs.extend(list.iter().filter_map(Value::as_str).map(str::to_string));
        }
        Some(_) => want(o, "needs", "expected a list of pools' names"),
    }
    let out = Search {
        needs,
        name: name.clone(),
        class: class as i32,
        promise_ms,
        quorum,
        attempts,
        plan,
        host,
        path,
        form: form as i32,
        once,
        target_ms,
        rank,
        width,
        top,
        weights,
        origin,
        place,
    };
    Some((name, out))
}

fn pool(o: &mut Object) -> Option<(String, Pool)> {
    let name = name(o, "name");
    let service = text(o, "service", true);
    if service.is_empty() && o.map.get("service").is_some_and(Value::is_string) {
        want(o, "service", "must not be empty");
    }
    let selector = text(o, "selector", false);
    let bears = number(o, "bears", 1, 100_000, Some(u64::from(consts::LEAF_BEARS))) as u32;
    let ramp = consts::RAMP / crate::time::MILLI;
    let ramp_ms = number(o, "ramp_ms", 0, 3_600_000, Some(ramp)) as u32;
    o.seen.push("labels");
    let mut labels = BTreeMap::new();
    match o.map.get("labels") {
        None => {}
        Some(Value::Object(map)) => {
            for (key, val) in map {
                match val.as_str() {
                    Some(s) => {
                        labels.insert(key.clone(), s.to_string());
                    }
                    None => {
                        let place = format!("{}.labels.{key}", o.at);
                        find(o.all, place, "expected a text");
                    }
                }
            }
        }
        Some(_) => want(o, "labels", "expected an object of texts"),
    }
    let steer = match text(o, "steer", false).as_str() {
        "" | "share" => Steer::Share,
        "seen" => Steer::Seen,
        other => {
            want(o, "steer", format!("`{other}` is not one of share, seen"));
            Steer::Share
        }
    } as i32;
    let connections = number(o, "wires", 0, u64::from(u32::MAX), Some(0)) as u32;
    let cold_rate = number(o, "cold_rate", 0, u64::from(u32::MAX), Some(0)) as u32;
    let origin = text(o, "origin", false);
    let place = number(o, "place", 0, u64::from(u32::MAX), Some(0)) as u32;
    let out = Pool {
        name: name.clone(),
        service,
        selector,
        labels,
        bears,
        ramp_ms,
        steer,
        connections,
        cold_rate,
        origin,
        place,
    };
    Some((name, out))
}

fn zone(o: &mut Object) -> Option<(String, Zone)> {
    let name = name(o, "name");
    let drained = match text(o, "state", true).as_str() {
        "open" => false,
        "drained" => true,
        "" => false,
        other => {
            want(o, "state", format!("`{other}` is not one of open, drained"));
            false
        }
    };
    Some((name.clone(), Zone { name, drained }))
}
