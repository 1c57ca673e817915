//! Checks answers against the oracle, independently of the querier's code.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use super::oracle;
use super::spec::Kind;

/// A caller's query.
#[derive(Clone, Debug)]
pub struct Asked {
    /// The query text.
    pub question: String,
    /// The key of a lookup.
    pub key: Option<String>,
}

/// Returns the errors of a successful answer, none if it is correct. Also returns the
/// services that the answer claims, for the check against the leafs' log.
pub fn success(
    kind: &Kind,
    asked: &Asked,
    missing: Option<&str>,
    body: &[u8],
) -> (Vec<String>, Vec<String>) {
    let mut errors = Vec::new();
    let Ok(answer) = serde_json::from_slice::<Value>(body) else {
        return (vec!["the answer is not JSON".into()], Vec::new());
    };
    let index_version = answer["cut"].as_str().unwrap_or_default();
    let names: Vec<&str> =
        answer["shards"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    let distinct: BTreeSet<&&str> = names.iter().collect();
    if distinct.len() != names.len() {
        errors.push(format!("rule 1: a shard is named twice: {names:?}"));
    }
    let table: BTreeMap<&str, &str> = kind
        .shards
        .iter()
        .filter(|entry| entry.index_version == index_version)
        .map(|entry| (entry.shard.as_str(), entry.service.as_str()))
        .collect();
    if table.is_empty() {
        errors.push(format!("rule 2: unknown index version {index_version:?}"));
    }
    let mut services = Vec::new();
    for name in &names {
        match table.get(name) {
            Some(service) => services.push(*service),
            None => errors
                .push(format!("rule 1: shard {name:?} is not of index version {index_version:?}")),
        }
    }
    let planned = if kind.lookup { 1 } else { table.len() };
    let required = (planned as f64 * kind.quorum).ceil() as usize;
    if names.len() < required {
        errors.push(format!("rule 3: {} shards of {planned}, {required} needed", names.len()));
    }
    let missing_count = planned.saturating_sub(names.len());
    if missing != Some(missing_count.to_string().as_str()) {
        errors.push(format!("Missing-Parts is {missing:?}, {missing_count} are missing"));
    }
    let records = answer["records"].as_array().cloned().unwrap_or_default();
    let expected = oracle::merged(&services, &asked.question, asked.key.as_deref(), kind.limit);
    let actual: Vec<(&str, f64, &str)> = records
        .iter()
        .map(|r| {
            (
                r["id"].as_str().unwrap_or_default(),
                r["score"].as_f64().unwrap_or(f64::NAN),
                r["data"]["service"].as_str().unwrap_or_default(),
            )
        })
        .collect();
    for (_, _, service) in &actual {
        if !services.contains(service) {
            errors.push(format!("rule 2: a record of {service}, which is not named"));
            break;
        }
    }
    let records_match = actual.len() == expected.len()
        && actual
            .iter()
            .zip(&expected)
            .all(|(g, w)| g.0 == w.id && g.1 == w.score && g.2 == w.service);
    if !records_match {
        errors.push("rule 4: the records are not the best of the shards named, in order".into());
    }
    (errors, services.iter().map(|s| s.to_string()).collect())
}

/// Checks the claims of answers against the attempts that the leafs ran. `claims` are
/// (query, services, question); `runs` are the rows of the leafs' log.
pub fn against_runs(
    claims: &[(String, Vec<String>, String)],
    asked: &BTreeSet<String>,
    runs: &[Value],
) -> Vec<String> {
    let mut errors = Vec::new();
    let mut ran: BTreeMap<&str, Vec<(&str, &str)>> = BTreeMap::new();
    for row in runs {
        let cell = |i: usize| row[i].as_str().unwrap_or_default();
        // An attempt's id is the query's id with one more dot and a number.
        let query = cell(4).rsplit_once('.').map_or(cell(4), |q| q.0);
        if row[8] == true {
            ran.entry(query).or_default().push((cell(1), cell(5)));
        }
        if !asked.contains(cell(5)) {
            errors.push(format!(
                "rule 5: {} ran a question that no caller sent: {:?}",
                cell(0),
                cell(5)
            ));
        }
    }
    for (query, services, question) in claims {
        let list = ran.get(query.as_str()).map_or(&[][..], Vec::as_slice);
        for service in services {
            if !list.iter().any(|(s, q)| s == service && q == question) {
                errors.push(format!("rule 1: {query} claims {service}, which never answered it"));
            }
        }
    }
    errors
}
