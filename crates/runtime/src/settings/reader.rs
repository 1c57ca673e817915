//! Reads and validates settings, and collects a diagnostic for each error.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use grebepath_core::diagnostic::{Diagnostic, push_diagnostic};
use grebepath_core::time::Span;
use serde_json::Value;

use super::EXIT_SETTINGS;
use crate::platform_api::PlatformApi;

/// One day, in seconds.
const SECONDS_MAX: f64 = 86_400.0;
/// Prefix of environment variables; the name of the setting follows in capitals.
const ENVIRONMENT_PREFIX: &str = "GREBE_";
/// The HTTP interfaces for callers, leafs and operators: this project's or the platform's.
const DIALECTS: [&str; 2] = ["own", "platform"];

/// A reader of settings, with the diagnostics so far.
pub struct SettingsReader {
    flags: BTreeMap<String, String>,
    file: serde_json::Map<String, Value>,
    /// Names of the settings read so far, in order.
    known: Vec<&'static str>,
    diagnostics: Vec<Diagnostic>,
}

impl SettingsReader {
    /// Creates a reader of flags, given by their names in the file, and an optional settings file.
    pub fn new(flags: Vec<(String, String)>, file: Option<&str>) -> SettingsReader {
        let mut diagnostics = Vec::new();
        let mut settings = serde_json::Map::new();
        if let Some(path) = file {
            match std::fs::read(path) {
                Err(e) => {
                    let place = format!("--params {path}");
                    push_diagnostic(&mut diagnostics, place, format!("can't be read: {e}"));
                }
                Ok(raw) => match serde_json::from_slice(&raw) {
                    Ok(Value::Object(object)) => settings = object,
                    Ok(_) => push_diagnostic(&mut diagnostics, path, "expected a JSON object"),
                    Err(e) => {
                        let place = format!("{path}:{}:{}", e.line(), e.column());
                        push_diagnostic(&mut diagnostics, place, format!("not JSON: {e}"));
                    }
                },
            }
        }
        let flags = flags.into_iter().collect();
        SettingsReader { flags, file: settings, known: Vec::new(), diagnostics }
    }

    /// Returns a setting's place and its text, if it is given.
    fn value(&mut self, name: &'static str) -> Option<(String, String)> {
        self.known.push(name);
        if let Some(val) = self.flags.get(name) {
            return Some((format!("--{name}"), val.clone()));
        }
        let Some(value) = self.file.get(name) else { return from_environment(name) };
        let place = format!("params.{name}");
        match value {
            Value::String(s) => Some((place, s.clone())),
            Value::Number(n) => Some((place, n.to_string())),
            Value::Bool(b) => Some((place, b.to_string())),
            Value::Array(list) => {
                let texts: Vec<&str> = list.iter().filter_map(Value::as_str).collect();
                if texts.len() < list.len() {
                    self.report(place, "expected a list of strings");
                    return None;
                }
                Some((place, texts.join(",")))
            }
            _ => {
                self.report(place, "expected a string, a number or a list of strings");
                None
            }
        }
    }

    /// Reads a text. Reports a diagnostic if it is missing and has no default.
    pub fn text(&mut self, name: &'static str, default: Option<&str>) -> String {
        match self.value(name) {
            Some((_, val)) if !val.is_empty() => val,
            Some((place, _)) => {
                self.report(place, "must not be empty");
                String::new()
            }
            None => {
                if default.is_none() && !self.is_unreadable(name) {
                    self.report(format!("--{name}"), "missing");
                }
                default.unwrap_or_default().to_string()
            }
        }
    }

    /// Whether the file has a value of an unsupported type, which was reported already.
    fn is_unreadable(&self, name: &str) -> bool {
        self.file.contains_key(name) && !self.flags.contains_key(name)
    }

    /// Reads an optional text.
    pub fn optional_text(&mut self, name: &'static str) -> Option<String> {
        self.value(name).map(|(_, val)| val)
    }

    /// Reads a name, which consists of letters, digits, `-`, `_` and `.`.
    pub fn name(&mut self, key: &'static str) -> String {
        let val = self.text(key, None);
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if !val.is_empty() && (val.len() > 128 || !val.chars().all(is_allowed)) {
            self.report(
                format!("--{key}"),
                "expected at most 128 letters, digits, `-`, `_` and `.`",
            );
        }
        val
    }

    /// Reads an IP address with a port.
    pub fn address(&mut self, name: &'static str) -> SocketAddr {
        let val = self.text(name, None);
        self.parse_address(name, &val)
    }

    fn parse_address(&mut self, name: &str, val: &str) -> SocketAddr {
        match val.trim().parse() {
            Ok(addr) => addr,
            Err(_) => {
                if !val.is_empty() {
                    let text = format!("`{val}` is not an IP address with a port");
                    self.report(format!("--{name}"), text);
                }
                SocketAddr::from(([0, 0, 0, 0], 0))
            }
        }
    }

    /// Reads an optional IP address with a port.
    pub fn optional_address(&mut self, name: &'static str) -> Option<SocketAddr> {
        let val = self.optional_text(name)?;
        Some(self.parse_address(name, &val))
    }

    /// Returns the hash of the cluster's name, `grebe` by default. All processes of a cluster must
    /// share the name. It does not depend on the seeds, which may differ between processes.
    pub fn cluster_hash(&mut self) -> u64 {
        grebepath_core::digest::hash(&self.optional_text("fleet").unwrap_or_else(|| "grebe".into()))
    }

    /// Reads `low` to `high` different addresses, separated by commas. `port` replaces the port of
    /// each.
    pub fn addresses(
        &mut self,
        name: &'static str,
        low: usize,
        high: usize,
        port: Option<u16>,
    ) -> Vec<SocketAddr> {
        let val = self.text(name, None);
        if val.is_empty() {
            return Vec::new();
        }
        let mut list: Vec<SocketAddr> =
            val.split(',').map(|v| self.parse_address(name, v)).collect();
        for addr in &mut list {
            addr.set_port(port.unwrap_or(addr.port()));
        }
        let mut seen = list.clone();
        seen.sort();
        seen.dedup();
        if !(low..=high).contains(&list.len()) || seen.len() != list.len() {
            let text = format!("expected {low} to {high} different addresses");
            self.report(format!("--{name}"), text);
        }
        list
    }

    /// Reads up to `max` inner addresses of controllers. The setting `seed_port` replaces the port
    /// of each.
    pub fn seeds(&mut self, max: usize) -> Vec<SocketAddr> {
        let port = self.number("seed_port", 0, u64::from(u16::MAX), Some(0)) as u16;
        self.addresses("seeds", 1, max, (port > 0).then_some(port))
    }

    /// Returns `api` if the setting `dialect` selects the platform's interface, in addition to or
    /// instead of this project's.
    pub fn platform_api(&mut self, api: &'static PlatformApi) -> Option<&'static PlatformApi> {
        let dialect = self.choice("dialect", &DIALECTS, DIALECTS[0]);
        (dialect == DIALECTS[1]).then_some(api)
    }

    /// Reads a boolean: `true` or `false`.
    pub fn boolean(&mut self, name: &'static str, default: bool) -> bool {
        match self.value(name) {
            None => default,
            Some((_, val)) if val == "true" => true,
            Some((_, val)) if val == "false" => false,
            Some((place, _)) => {
                self.report(place, "expected true or false");
                default
            }
        }
    }

    /// Reads an integer within bounds.
    pub fn number(&mut self, name: &'static str, low: u64, high: u64, default: Option<u64>) -> u64 {
        match self.value(name) {
            None => {
                if default.is_none() && !self.is_unreadable(name) {
                    self.report(format!("--{name}"), "missing");
                }
                default.unwrap_or(low)
            }
            Some((place, val)) => match val.parse() {
                Ok(n) if (low..=high).contains(&n) => n,
                _ => {
                    self.report(place, format!("expected a whole number from {low} to {high}"));
                    low
                }
            },
        }
    }

    /// Reads a share from 0 to 1, and returns it in thousandths.
    pub fn share_in_thousandths(&mut self, name: &'static str, default: u64) -> u64 {
        let share = self.decimal(name, "a share from 0 to 1", |n| (0.0..=1.0).contains(&n));
        share.map_or(default, |n| (n * 1000.0) as u64)
    }

    /// Reads an optional number of seconds, which may have a fraction.
    pub fn optional_seconds(&mut self, name: &'static str) -> Option<Span> {
        let fits = |n: f64| (0.0..=SECONDS_MAX).contains(&n);
        let seconds = self.decimal(name, "seconds, up to a day", fits)?;
        Some((seconds * 1e6) as Span)
    }

    /// Reads a bound from 0 to `high`. Rounds it down, since the bounded quantity is an integer.
    pub fn bound(&mut self, name: &'static str, high: u64, default: u64) -> u64 {
        let expected = format!("a number from 0 to {high}");
        let bound = self.decimal(name, &expected, |n| (0.0..=high as f64).contains(&n));
        bound.map_or(default, |n| n as u64)
    }

    /// Reads an amount above zero. Rounds it down, to at least 1.
    pub fn positive_amount(&mut self, name: &'static str, default: u64) -> u64 {
        let amount = self.decimal(name, "a number above zero", |n| n > 0.0);
        amount.map_or(default, |n| (n as u64).max(1))
    }

    /// Reads a decimal number. Returns `None` if it is absent, or if `fits` rejects it.
    fn decimal(
        &mut self,
        name: &'static str,
        expected: &str,
        fits: impl Fn(f64) -> bool,
    ) -> Option<f64> {
        let (place, text) = self.value(name)?;
        match text.parse::<f64>() {
            Ok(number) if fits(number) => Some(number),
            _ => {
                self.report(place, format!("expected {expected}"));
                None
            }
        }
    }

    /// Reads one of several known values.
    pub fn choice(&mut self, name: &'static str, known: &[&str], default: &str) -> String {
        match self.value(name) {
            None => default.to_string(),
            Some((_, val)) if known.contains(&val.as_str()) => val,
            Some((place, val)) => {
                self.report(place, format!("`{val}` is not one of {}", known.join(", ")));
                default.to_string()
            }
        }
    }

    /// Reads an optional integer within bounds.
    pub fn optional_number(&mut self, name: &'static str, low: u64, high: u64) -> Option<u64> {
        let given = self.flags.contains_key(name) || self.file.contains_key(name);
        let val = self.number(name, low, high, Some(low));
        given.then_some(val)
    }

    /// Reports unknown names in the file, and returns all diagnostics.
    pub fn finish(&mut self) -> Vec<Diagnostic> {
        let known = std::mem::take(&mut self.known);
        for key in self.file.keys().filter(|k| !known.contains(&k.as_str())) {
            let text = format!("unknown setting; known are {}", known.join(", "));
            self.diagnostics.push(Diagnostic::new(format!("params.{key}"), text));
        }
        std::mem::take(&mut self.diagnostics)
    }

    /// Adds a diagnostic about a setting.
    pub fn report(&mut self, place: impl Into<String>, text: impl Into<String>) {
        push_diagnostic(&mut self.diagnostics, place, text.into());
    }
}

/// Writes the diagnostics, if any, to stderr and exits.
pub fn exit_if_any(program: &str, diagnostics: &[Diagnostic]) {
    if diagnostics.is_empty() {
        return;
    }
    eprintln!("{program}: {} invalid setting(s):", diagnostics.len());
    eprintln!("{}", grebepath_core::diagnostic::lines(diagnostics));
    std::process::exit(EXIT_SETTINGS);
}

/// Reads a setting from the environment, with the variable as its place. An empty variable counts
/// as not set, since platforms that set variables from a template leave unknown values empty.
fn from_environment(name: &str) -> Option<(String, String)> {
    let variable = format!("{ENVIRONMENT_PREFIX}{}", name.to_uppercase());
    let value = std::env::var(&variable).ok().filter(|value| !value.is_empty())?;
    Some((variable, value))
}
