//! Operators of a simulated cluster whose answers may be lost. Each call is recorded in a history,
//! which must be linearizable.

#![allow(dead_code)]

use grebepath_core::config::types::Config;
use grebepath_core::digest::digest;
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::time::{SECOND, ms};
use grebepath_simulator::linearizability::{
    Answer, AttemptNumber, Base, Effect, Recorder, Verdict, check,
};
use grebepath_simulator::scenario::Scenario;
use grebepath_simulator::world::{OperatorRequest, World};
use serde_json::{Value, json};

/// Zone states by name: the objects of the history.
type Objects = std::collections::BTreeMap<String, String>;

/// A call that was sent.
struct Sent {
    submitted: usize,
    write: Option<AttemptNumber>,
    via: usize,
    sent: u64,
    /// Whether the answer is lost on the way to the operator.
    lost: bool,
    recorded: bool,
}

/// A cluster and its operators.
pub struct Site {
    pub world: World,
    recorder: Recorder,
    sent: Vec<Sent>,
    config: Value,
}

/// A configuration change, as an operator sends it.
#[derive(Clone)]
pub struct Change {
    pub request: String,
    pub operation: Operation,
    base: Base,
    effect: Effect,
}

/// Returns a change that opens one zone; `base` is the edition that it builds on and the edition
/// that it creates.
pub fn patch(zone: &str, base: Option<(u64, u64)>) -> Change {
    let mut value = json!({ "zones": [{ "name": zone, "state": "open" }] });
    named(&mut value, base);
    let puts = [(zone.to_string(), Some("open".to_string()))].into();
    let effect = Effect { puts, edition: base.map(|b| b.1), ..Effect::default() };
    let text = value.to_string();
    let request = digest(format!("PATCH {text}").as_bytes());
    let base = Base { revision: None, edition: base.map(|b| b.0) };
    Change { request, operation: Operation::Patch(text.into_bytes()), base, effect }
}

/// Returns a change that replaces the configuration by this one with one more zone.
pub fn replacement(config: &Value, zone: &str, base: Option<(u64, u64)>) -> Change {
    let mut value = config.clone();
    let zones = value["zones"].as_array().cloned().unwrap_or_default();
    let added = [json!({ "name": zone, "state": "open" })];
    value["zones"] = zones.into_iter().chain(added).collect();
    named(&mut value, base);
    let text = |v: &Value| v.as_str().unwrap_or_default().to_string();
    let zones = value["zones"].as_array().into_iter().flatten();
    let puts = zones.map(|z| (text(&z["name"]), Some(text(&z["state"])))).collect();
    let edition = base.map(|b| b.1);
    let effect = Effect { replaces: true, puts, edition, ..Effect::default() };
    let text = value.to_string();
    let request = digest(format!("PUT {text}").as_bytes());
    let base = Base { revision: None, edition: base.map(|b| b.0) };
    Change { request, operation: Operation::Replace(text.into_bytes()), base, effect }
}

fn named(value: &mut Value, base: Option<(u64, u64)>) {
    if let Some((after, edition)) = base {
        value["terms"] = json!({ "after": after, "edition": edition });
    }
}

/// Starts a cluster with its first configuration, which is edition 1.
pub fn site(scenario: &Scenario, seed: u64) -> Site {
    let mut world =
        World::new(&scenario.spec, scenario.control_plane.clone(), scenario.queriers, seed);
    world.run(SECOND);
    let config = scenario.config.clone();
    let mut site = Site { world, recorder: Recorder::default(), sent: Vec::new(), config };
    let first = replacement(&site.config, "first", Some((0, 1)));
    let call = send(&mut site, 0, &first, false);
    assert!(
        until(&mut site, 20, |s| answer(s, call).is_some()),
        "the first configuration was not accepted"
    );
    assert!(until(&mut site, 20, |s| s.world.settled()), "the cluster does not start up");
    site.world.start_calls(scenario.factor);
    site
}

/// Returns a change that replaces the cluster's initial configuration with one more zone.
pub fn replacement_of(site: &Site, zone: &str, base: Option<(u64, u64)>) -> Change {
    replacement(&site.config, zone, base)
}

/// Sends a change through a machine and returns the number of the call. With `lost`, the operator
/// never receives the answer.
pub fn send(site: &mut Site, machine: usize, change: &Change, lost: bool) -> usize {
    let text = match &change.operation {
        Operation::Replace(text) | Operation::Patch(text) => text.clone(),
        _ => Vec::new(),
    };
    let zone = u64::from_str_radix(&digest(&text)[..16], 16).unwrap_or_default();
    let now = site.world.now;
    let id = (change.request.as_str(), zone);
    let via = format!("machine {machine}");
    let effect = || change.effect.clone();
    let write = site.recorder.send_write(now, via, id, change.base, effect);
    call(site, machine, Some(change.request.clone()), change.operation.clone(), Some(write), lost)
}

/// Sends a read of the configuration through a machine and returns the number of the call.
pub fn read(site: &mut Site, machine: usize) -> usize {
    call(site, machine, None, Operation::Read, None, false)
}

fn call(
    site: &mut Site,
    machine: usize,
    request: Option<String>,
    operation: Operation,
    write: Option<AttemptNumber>,
    lost: bool,
) -> usize {
    let mut submitted = OperatorRequest::patch(&Value::Null);
    (submitted.request, submitted.operation, submitted.controller) =
        (request, operation, Some(machine));
    let sent = site.world.now;
    let submitted = site.world.submit(0, submitted);
    site.sent.push(Sent { submitted, write, via: machine, sent, lost, recorded: false });
    site.sent.len() - 1
}

/// Advances the time and records the answers that arrive.
pub fn advance(site: &mut Site, millis: u64) {
    let end = site.world.now + ms(millis);
    while site.world.now < end {
        let span = ms(10).min(end - site.world.now);
        site.world.run(span);
        record_answers(site);
    }
}

/// Advances the time until `done`, at most by `seconds`.
pub fn until(site: &mut Site, seconds: u64, done: impl Fn(&Site) -> bool) -> bool {
    let end = site.world.now + seconds * SECOND;
    while !done(site) && site.world.now < end {
        advance(site, 10);
    }
    done(site)
}

/// Returns the answer of a call, if the operator has received one.
pub fn answer(site: &Site, call: usize) -> Option<&OperationResult> {
    let sent = &site.sent[call];
    site.world.operator_requests[sent.submitted].result.as_ref().filter(|_| !sent.lost)
}

/// Sends a change and waits for the answer.
pub fn send_and_wait(site: &mut Site, machine: usize, change: &Change) -> Option<OperationResult> {
    let call = send(site, machine, change, false);
    until(site, 12, |s| answer(s, call).is_some());
    answer(site, call).cloned()
}

/// Reads the zones and the edition through a machine.
pub fn read_back(site: &mut Site, machine: usize) -> Option<(Objects, u64)> {
    let call = read(site, machine);
    until(site, 12, |s| answer(s, call).is_some());
    match answer(site, call) {
        Some(OperationResult::Configuration { entries: map, .. }) => objects(map),
        _ => None,
    }
}

fn objects(map: &grebepath_core::protocol::replica::EntryMap) -> Option<(Objects, u64)> {
    let config = Config::from_entries(map).ok()?;
    let state = |drained| if drained { "drained" } else { "open" }.to_string();
    let zones = config.zones.values().map(|z| (z.name.clone(), state(z.drained))).collect();
    Some((zones, config.client_limits.edition))
}

/// Records new answers in the history.
fn record_answers(site: &mut Site) {
    let now = site.world.now;
    for sent in site.sent.iter_mut().filter(|sent| !sent.recorded && !sent.lost) {
        let Some(done) = &site.world.operator_requests[sent.submitted].result else { continue };
        sent.recorded = true;
        match (sent.write, done) {
            (Some(number), done) => site.recorder.answer_write(now, number, recorded_answer(done)),
            (None, OperationResult::Configuration { revision, entries: map }) => {
                let Some((zones, edition)) = objects(map) else { continue };
                let number = site.recorder.send_read(sent.sent, format!("machine {}", sent.via));
                let at = (*revision, Some(edition));
                site.recorder.answer_read(now, number, at, zones);
            }
            _ => {}
        }
    }
}

fn recorded_answer(done: &OperationResult) -> Answer {
    match done {
        OperationResult::Accepted { revision, .. } => Answer::Accepted { revision: *revision },
        OperationResult::Conflict { revision } => Answer::Moved { version: Some(*revision) },
        OperationResult::Invalid(_) => Answer::Invalid,
        OperationResult::Rejected { .. } => Answer::Rejected,
        _ => Answer::Unknown,
    }
}

/// Returns an error with the explanation if the history is not linearizable.
pub fn check_linearizable(site: &Site) -> Result<(), String> {
    match check(site.recorder.history()) {
        Verdict::Linearizable => Ok(()),
        Verdict::Violated(violation) => Err(violation.to_string()),
        Verdict::Undecided { states } => Err(format!("undecided after {states} states")),
    }
}

/// Returns the number of calls by kind of answer.
pub fn tally(site: &Site) -> std::collections::BTreeMap<&'static str, usize> {
    let mut out = std::collections::BTreeMap::new();
    for sent in &site.sent {
        let kind = match &site.world.operator_requests[sent.submitted].result {
            _ if sent.lost => "lost",
            None => "none",
            Some(OperationResult::Accepted { .. }) => "accepted",
            Some(OperationResult::Conflict { .. }) => "moved",
            Some(OperationResult::Invalid(_)) => "wrong",
            Some(OperationResult::Rejected { .. }) => "rejected",
            Some(OperationResult::Configuration { .. }) => "read",
            Some(_) => "unknown",
        };
        *out.entry(kind).or_insert(0) += 1;
    }
    out
}
