//! JSON to configuration types. Every finding is noted with its JSON path;
//! reading goes on after each.

use std::collections::BTreeMap;

use serde_json::{Map, Value};

use super::types::{Class, Config, Patch, Pool, Search, Zone};
use crate::consts;
use crate::lang::finding::{Finding, find};

/// Longest name of anything (bytes).
const NAME_LIMIT: usize = 128;

/// Parses the text and reads a whole configuration.
pub fn whole(text: &[u8]) -> Result<Config, Vec<Finding>> {
    let mut all = Vec::new();
    let conf = match top(text, &["searches", "pools", "zones"], &mut all) {
        Some(map) => config(&map, &mut all),
        None => Config::default(),
    };
    if all.is_empty() { Ok(conf) } else { Err(all) }
}

/// Parses the text and reads a partial configuration.
pub fn patch(text: &[u8]) -> Result<Patch, Vec<Finding>> {
    let mut all = Vec::new();
    let mut out = Patch::default();
    if let Some(map) = top(text, &["searches", "pools", "zones", "remove"], &mut all) {
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

fn top(text: &[u8], keys: &[&str], all: &mut Vec<Finding>) -> Option<Map<String, Value>> {
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

fn known(map: &Map<String, Value>, at: &str, keys: &[&str], all: &mut Vec<Finding>) {
    for key in map.keys().filter(|k| !keys.contains(&k.as_str())) {
        let place = if at == "$" { key.clone() } else { format!("{at}.{key}") };
        find(all, place, format!("unknown field; known are {}", keys.join(", ")));
    }
}

fn names(map: &Map<String, Value>, key: &str, all: &mut Vec<Finding>) -> Vec<String> {
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

fn config(map: &Map<String, Value>, all: &mut Vec<Finding>) -> Config {
    Config {
        searches: list(map, "searches", all, search),
        pools: list(map, "pools", all, pool),
        zones: list(map, "zones", all, zone),
    }
}

fn list<T>(
    map: &Map<String, Value>,
    key: &str,
    all: &mut Vec<Finding>,
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
    all: &'a mut Vec<Finding>,
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
    let promise_ms = number(o, "promise_ms", consts::BUDGET_MIN_MS, consts::BUDGET_MAX_MS, None);
    let attempts = number(o, "attempts", 1, 10, Some(3)) as u32;
    o.seen.push("quorum");
    let quorum = match o.map.get("quorum").map(Value::as_f64) {
        None => 1000,
        Some(Some(q)) if q > 0.0 && q <= 1.0 => ((q * 1000.0).ceil() as u32).clamp(1, 1000),
        Some(_) => {
            want(o, "quorum", "expected a share above 0 and up to 1");
            1000
        }
    };
    let plan = text(o, "plan", true);
    Some((name.clone(), Search { name, class: class as i32, promise_ms, quorum, attempts, plan }))
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
    Some((name.clone(), Pool { name, service, selector, labels, bears, ramp_ms }))
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
