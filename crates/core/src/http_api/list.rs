//! The list of leafs that the platform provides.

use std::collections::BTreeSet;

use serde_json::Value;

use crate::diagnostic::{Diagnostic, push_diagnostic};
use crate::routing_language::selector::Labels;
use crate::snapshot::leafs::LeafInfo;

/// Path under which the platform serves its list.
pub const PATH: &str = "/leafs";

/// Parses the list. A list that is malformed or has no usable leaf is an error; a single invalid
/// entry is reported and skipped.
pub fn read(body: &[u8]) -> Result<(Vec<LeafInfo>, Vec<Diagnostic>), Diagnostic> {
    let list_error = |text: String| Diagnostic::new("$", text);
    let val: Value = serde_json::from_slice(body)
        .map_err(|e| list_error(format!("the list is not JSON: {e}")))?;
    let Some(items) = val.get("leafs").and_then(Value::as_array) else {
        return Err(list_error("the list has no field `leafs`".into()));
    };
    let (mut out, mut all) = (Vec::<LeafInfo>::new(), Vec::new());
    let mut seen = BTreeSet::new();
    for (i, item) in items.iter().enumerate() {
        let at = format!("leafs[{i}]");
        match entry(item) {
            Ok(leaf) if !seen.insert(leaf.leaf.clone()) => {
                push_diagnostic(&mut all, at, format!("duplicate leaf `{}`", leaf.leaf));
            }
            Ok(leaf) => out.push(leaf),
            Err(text) => push_diagnostic(&mut all, at, text),
        }
    }
    if out.is_empty() {
        return Err(list_error("the list has no usable leaf".into()));
    }
    Ok((out, all))
}

fn entry(item: &Value) -> Result<LeafInfo, String> {
    let text = |key: &str| match item.get(key).and_then(Value::as_str) {
        Some(s) if !s.is_empty() => Ok(s.to_string()),
        _ => Err(format!("field `{key}` is missing or not a text")),
    };
    let leaf = text("leaf")?;
    if !leaf.bytes().all(|b| b.is_ascii_graphic()) {
        return Err("field `leaf` must be printable ASCII without spaces".into());
    }
    let addr = text("addr")?;
    if addr.parse::<std::net::SocketAddr>().is_err() {
        return Err(format!("`{addr}` is not an IP address with a port"));
    }
    let mut labels = Labels::new();
    if let Some(map) = item.get("labels").and_then(Value::as_object) {
        for (key, val) in map {
            let val = val.as_str().ok_or_else(|| format!("label `{key}` is not a text"))?;
            labels.insert(key.clone(), val.to_string());
        }
    }
    let leaving = labels.get("state").is_some_and(|s| s == "leaving");
    Ok(LeafInfo {
        leaf,
        service: text("service")?,
        addr,
        labels,
        leaving,
        age_ms: 0,
        slots: 0,
        cold: false,
    })
}
