//! Params from a file (a JSON object) and from flags, flags first. All that
//! is wrong is found at once, before any port is opened.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use grebepath_core::diagnostic::{Diagnostic, find};
use serde_json::Value;

/// Exit code of a process whose params are wrong.
pub const EXIT_PARAMS: i32 = 2;

/// Params being read: where each came from, and the findings.
pub struct Reader {
    flags: BTreeMap<String, String>,
    file: serde_json::Map<String, Value>,
    asked: Vec<&'static str>,
    pub all: Vec<Diagnostic>,
}

/// A reader over `--name value` pairs and an optional file.
pub fn reader(flags: Vec<(&str, Option<String>)>, file: Option<&str>) -> Reader {
    let mut all = Vec::new();
    let mut map = serde_json::Map::new();
    if let Some(path) = file {
        match std::fs::read(path) {
            Err(e) => find(&mut all, format!("--params {path}"), format!("can't be read: {e}")),
            Ok(raw) => match serde_json::from_slice(&raw) {
                Ok(Value::Object(m)) => map = m,
                Ok(_) => find(&mut all, path, "expected a JSON object"),
                Err(e) => {
                    let place = format!("{path}:{}:{}", e.line(), e.column());
                    find(&mut all, place, format!("not JSON: {e}"));
                }
            },
        }
    }
    let flags = flags.into_iter().filter_map(|(k, v)| Some((k.to_string(), v?))).collect();
    Reader { flags, file: map, asked: Vec::new(), all }
}

fn raw(r: &mut Reader, name: &'static str) -> Option<(String, String)> {
    r.asked.push(name);
    if let Some(val) = r.flags.get(name) {
        return Some((format!("--{name}"), val.clone()));
    }
    let place = format!("params.{name}");
    match r.file.get(name)? {
        Value::String(s) => Some((place, s.clone())),
        Value::Number(n) => Some((place, n.to_string())),
        Value::Bool(b) => Some((place, b.to_string())),
        Value::Array(list) => {
            let texts: Vec<&str> = list.iter().filter_map(Value::as_str).collect();
            if texts.len() < list.len() {
                find(&mut r.all, place, "expected a list of texts");
                return None;
            }
            Some((place, texts.join(",")))
        }
        _ => {
            find(&mut r.all, place, "expected a text, a number or a list of texts");
            None
        }
    }
}

/// A text; a finding if it is missing and has no fall-back.
pub fn text(r: &mut Reader, name: &'static str, fall: Option<&str>) -> String {
    match raw(r, name) {
        Some((_, val)) if !val.is_empty() => val,
        Some((place, _)) => {
            find(&mut r.all, place, "must not be empty");
            String::new()
        }
        None => {
            if fall.is_none() && !failed(r, name) {
                find(&mut r.all, format!("--{name}"), "missing");
            }
            fall.unwrap_or_default().to_string()
        }
    }
}

fn failed(r: &Reader, name: &str) -> bool {
    r.file.contains_key(name) && !r.flags.contains_key(name)
}

/// A text that may be absent.
pub fn maybe(r: &mut Reader, name: &'static str) -> Option<String> {
    raw(r, name).map(|(_, val)| val)
}

/// A name: letters, digits, `-`, `_`, `.`.
pub fn name(r: &mut Reader, key: &'static str) -> String {
    let val = text(r, key, None);
    let fit = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if !val.is_empty() && (val.len() > 128 || !val.chars().all(fit)) {
        find(&mut r.all, format!("--{key}"), "has letters, digits, `-`, `_` and `.` only");
    }
    val
}

/// An address by IP number.
pub fn addr(r: &mut Reader, name: &'static str) -> SocketAddr {
    let val = text(r, name, None);
    one_addr(r, name, &val)
}

fn one_addr(r: &mut Reader, name: &str, val: &str) -> SocketAddr {
    match val.trim().parse() {
        Ok(addr) => addr,
        Err(_) => {
            if !val.is_empty() {
                let text = format!("`{val}` is not an IP address with a port");
                find(&mut r.all, format!("--{name}"), text);
            }
            SocketAddr::from(([0, 0, 0, 0], 0))
        }
    }
}

/// An address by IP number that may be absent.
pub fn maybe_addr(r: &mut Reader, name: &'static str) -> Option<SocketAddr> {
    let val = maybe(r, name)?;
    Some(one_addr(r, name, &val))
}

/// The number of a fleet: of its name, which all its processes must share; of
/// the house's own, if it has none. Not of the seeds: these may differ.
pub fn fleet(r: &mut Reader) -> u64 {
    grebepath_core::digest::hash(&maybe(r, "fleet").unwrap_or_else(|| "grebe".into()))
}

/// From `low` to `high` different addresses, separated by commas; `port` stands
/// in for each one's own.
pub fn addrs(
    r: &mut Reader,
    name: &'static str,
    low: usize,
    high: usize,
    port: Option<u16>,
) -> Vec<SocketAddr> {
    let val = text(r, name, None);
    if val.is_empty() {
        return Vec::new();
    }
    let mut list: Vec<SocketAddr> = val.split(',').map(|v| one_addr(r, name, v)).collect();
    for addr in &mut list {
        addr.set_port(port.unwrap_or(addr.port()));
    }
    let mut seen = list.clone();
    seen.sort();
    seen.dedup();
    if !(low..=high).contains(&list.len()) || seen.len() != list.len() {
        let text = format!("expected {low} to {high} different addresses");
        find(&mut r.all, format!("--{name}"), text);
    }
    list
}

/// Yes or no: `true` or `false`.
pub fn yes(r: &mut Reader, name: &'static str, fall: bool) -> bool {
    match raw(r, name) {
        None => fall,
        Some((_, val)) if val == "true" => true,
        Some((_, val)) if val == "false" => false,
        Some((place, _)) => {
            find(&mut r.all, place, "expected true or false");
            fall
        }
    }
}

/// A whole number within bounds.
pub fn number(r: &mut Reader, name: &'static str, low: u64, high: u64, fall: Option<u64>) -> u64 {
    match raw(r, name) {
        None => {
            if fall.is_none() && !failed(r, name) {
                find(&mut r.all, format!("--{name}"), "missing");
            }
            fall.unwrap_or(low)
        }
        Some((place, val)) => match val.parse() {
            Ok(n) if (low..=high).contains(&n) => n,
            _ => {
                find(&mut r.all, place, format!("expected a whole number from {low} to {high}"));
                low
            }
        },
    }
}

/// A share from 0 to 1, in thousandths.
pub fn thousandths(r: &mut Reader, name: &'static str, fall: u64) -> u64 {
    match raw(r, name) {
        None => fall,
        Some((place, val)) => match val.parse::<f64>() {
            Ok(n) if (0.0..=1.0).contains(&n) => (n * 1000.0) as u64,
            _ => {
                find(&mut r.all, place, "expected a share from 0 to 1");
                fall
            }
        },
    }
}

/// Seconds, fractions included, as a span.
pub fn seconds(r: &mut Reader, name: &'static str) -> Option<grebepath_core::time::Span> {
    let (place, val) = raw(r, name)?;
    match val.parse::<f64>() {
        Ok(n) if (0.0..=86_400.0).contains(&n) => Some((n * 1e6) as grebepath_core::time::Span),
        _ => {
            find(&mut r.all, place, "expected seconds, up to a day");
            None
        }
    }
}

/// An amount above zero, fractions dropped.
pub fn amount(r: &mut Reader, name: &'static str, fall: u64) -> u64 {
    match raw(r, name) {
        None => fall,
        Some((place, val)) => match val.parse::<f64>() {
            Ok(n) if n > 0.0 => (n as u64).max(1),
            _ => {
                find(&mut r.all, place, "expected a number above zero");
                fall
            }
        },
    }
}

/// One of several words.
pub fn word(r: &mut Reader, name: &'static str, known: &[&str], fall: &str) -> String {
    match raw(r, name) {
        None => fall.to_string(),
        Some((_, val)) if known.contains(&val.as_str()) => val,
        Some((place, val)) => {
            find(&mut r.all, place, format!("`{val}` is not one of {}", known.join(", ")));
            fall.to_string()
        }
    }
}

/// A whole number within bounds that may be absent.
pub fn maybe_number(r: &mut Reader, name: &'static str, low: u64, high: u64) -> Option<u64> {
    let given = r.flags.contains_key(name) || r.file.contains_key(name);
    let val = number(r, name, low, high, Some(low));
    given.then_some(val)
}

/// Ends the reading: unknown names in the file are findings too.
pub fn done(r: &mut Reader) -> Vec<Diagnostic> {
    let asked = std::mem::take(&mut r.asked);
    for key in r.file.keys().filter(|k| !asked.contains(&k.as_str())) {
        let text = format!("unknown; known are {}", asked.join(", "));
        r.all.push(Diagnostic::new(format!("params.{key}"), text));
    }
    std::mem::take(&mut r.all)
}

/// Writes findings to stderr and ends the process, if there are any.
pub fn exit_if_any(program: &str, all: &[Diagnostic]) {
    if all.is_empty() {
        return;
    }
    eprintln!("{program}: {} thing(s) wrong with the params:", all.len());
    eprintln!("{}", grebepath_core::diagnostic::lines(all));
    std::process::exit(EXIT_PARAMS);
}
