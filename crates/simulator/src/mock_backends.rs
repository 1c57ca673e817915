//! Simulated leafs and the simulated list of the platform.

use std::collections::BTreeMap;

use grebepath_core::http_api::leaf as leaf_api;
use grebepath_core::http_api::leaf::{LeafReply, ReplyHeaders};
use grebepath_core::query::event::OutgoingAttempt;
use grebepath_core::random::Random;
use grebepath_core::time::{MILLI, Span, Tick, ms, since};
use serde_json::{Value, json};

use crate::oracle;
use crate::spec::{Service, Spec};
use crate::version_fault::VersionFault;

/// The behaviour of a leaf.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Mode {
    /// Correct behaviour.
    Good,
    /// Takes this much longer.
    Slow(Span),
    /// Accepts requests and never answers.
    Dark,
    /// Pauses periodically.
    Pauses {
        /// Time from the start of one pause to the next.
        every: Span,
        /// Duration of a pause.
        pause: Span,
    },
    /// Answers with invalid JSON.
    Garbage,
    /// Answers with records in the wrong order.
    Disorder,
    /// Answers without a postmark.
    NoPostmark,
    /// Answers with two postmarks.
    TwoPostmarks,
    /// Answers with the postmark of an earlier response.
    StalePostmark,
    /// Answers for another index version.
    WrongIndexVersion,
    /// Rejects every request before work.
    Unrun,
}

/// Whether a leaf's process and machine are running.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ProcessState {
    /// The process runs.
    Up,
    /// The process has ended; its machine refuses connections.
    Down,
    /// The machine is lost; connections get no answer.
    Vanished,
}

/// A simulated leaf.
pub struct MockLeaf {
    /// Its name in the list.
    pub name: String,
    /// The service that it serves.
    pub service: Service,
    /// Its zone.
    pub zone: String,
    /// The address on which it listens.
    pub addr: String,
    /// Its behaviour.
    pub mode: Mode,
    /// Whether its process and machine are running.
    pub process_state: ProcessState,
    /// Its capacity, as a percentage of its service's.
    pub capacity_pct: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether its responses report that it is leaving.
    pub reports_leaving: bool,
    /// Time from which on the platform's list shows it as leaving.
    pub shown_leaving: Option<Tick>,
    /// When the first process of the cluster received its leaving state.
    pub known_leaving: Option<Tick>,
    /// When its process started.
    pub started_at: Tick,
    /// Attempts in progress (count).
    pub in_progress: u32,
    /// Attempts that it has run in total (count).
    pub run_count: u64,
    /// The most concurrent attempts, as a percentage of its capacity.
    pub peak_load_pct: u32,
    /// Attempts that arrived when it was at its capacity (count).
    pub attempts_over_capacity: u64,
    /// The postmark of its last response.
    pub postmark: Option<String>,
    /// The version of its software, empty if the list doesn't include it.
    pub version: String,
    /// The fault of its version.
    pub version_fault: VersionFault,
}

/// All leafs, and the list that the platform serves.
pub struct MockBackends {
    /// All leafs by their names.
    pub leafs: BTreeMap<String, MockLeaf>,
    /// The name of the leaf at each address.
    pub by_address: BTreeMap<String, String>,
    /// The versions of the list, each with the time from which on it is served.
    pub list_versions: Vec<(Tick, String)>,
    /// The behaviour of the platform's list.
    pub list_mode: ListMode,
    /// Whether leafs report their age.
    pub reports_age: bool,
    /// Whether leafs report that they are leaving; otherwise only the list shows it.
    pub reports_leaving: bool,
    /// Time from a change until the list shows it.
    pub list_lag: Span,
    /// The number of the next leaf.
    pub next_number: u64,
}

/// The behaviour of the platform's list.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ListMode {
    /// Correct behaviour.
    Good,
    /// Answers without any leaf.
    Empty,
    /// Answers with invalid JSON.
    Garbage,
    /// Never answers.
    Dead,
    /// Keeps serving the version that was current when this mode began.
    Stale,
}

/// The zones of the cluster.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// Age of the warm leafs at the start of a run.
const WARM_AGE: Span = ms(3_600_000);

impl MockBackends {
    /// Creates the leafs of a spec, all warm; the run begins at `now`.
    pub fn new(spec: &Spec, now: Tick) -> Self {
        let mut backends = MockBackends {
            leafs: BTreeMap::new(),
            by_address: BTreeMap::new(),
            list_versions: Vec::new(),
            list_mode: ListMode::Good,
            reports_age: true,
            reports_leaving: true,
            list_lag: ms(spec.list_lag_ms),
            next_number: 1,
        };
        for s in &spec.services {
            for i in 0..s.leafs {
                let addr = backends.unused_address();
                backends.start_leaf(s.clone(), ZONES[i % 3], addr, now.saturating_sub(WARM_AGE));
            }
        }
        let text = backends.current_list();
        backends.list_versions.push((now, text));
        backends
    }

    /// Returns an address that no leaf has used.
    pub fn unused_address(&self) -> String {
        format!("127.1.{}.{}:8000", self.next_number / 200, 1 + self.next_number % 200)
    }

    /// Starts a leaf at an address and returns its name.
    pub fn start_leaf(
        &mut self,
        service: Service,
        zone: &str,
        addr: String,
        started_at: Tick,
    ) -> String {
        let name = format!("{}.{}", service.name, self.next_number);
        self.next_number += 1;
        self.by_address.insert(addr.clone(), name.clone());
        self.leafs.insert(
            name.clone(),
            MockLeaf {
                name: name.clone(),
                service,
                zone: zone.to_string(),
                addr,
                mode: Mode::Good,
                process_state: ProcessState::Up,
                capacity_pct: 100,
                leaving: false,
                reports_leaving: self.reports_leaving,
                shown_leaving: None,
                known_leaving: None,
                started_at,
                in_progress: 0,
                run_count: 0,
                peak_load_pct: 0,
                attempts_over_capacity: 0,
                postmark: None,
                version: String::new(),
                version_fault: VersionFault::Sound,
            },
        );
        name
    }

    /// Returns the current list, without the delay of the platform.
    fn current_list(&self) -> String {
        let leafs: Vec<Value> = self
            .leafs
            .values()
            .filter(|l| l.process_state == ProcessState::Up)
            .map(|l| {
                let mut leaf = json!({ "leaf": l.name, "service": l.service.name, "addr": l.addr,
                        "labels": { "zone": l.zone, "cut": l.service.index_version,
                                    "state": if l.leaving { "leaving" } else { "ready" } } });
                if !l.version.is_empty() {
                    leaf["labels"]["version"] = json!(l.version);
                }
                leaf
            })
            .collect();
        json!({ "leafs": leafs }).to_string()
    }

    /// Records a change, which the list shows after its lag.
    pub fn list_changed(&mut self, now: Tick) {
        let text = self.current_list();
        let shown_at = now + self.list_lag;
        self.list_versions.push((shown_at, text));
        for leaf in self.leafs.values_mut().filter(|leaf| leaf.leaving) {
            leaf.shown_leaving.get_or_insert(shown_at);
        }
    }

    /// Sets whether leafs report that they are leaving.
    pub fn set_reports_leaving(&mut self, tells: bool) {
        self.reports_leaving = tells;
        for leaf in self.leafs.values_mut() {
            leaf.reports_leaving = tells;
        }
    }

    /// Returns the list as it is served now; `None` if it doesn't answer.
    pub fn served_list(&mut self, now: Tick) -> Option<String> {
        while self.list_mode != ListMode::Stale
            && self.list_versions.len() > 1
            && self.list_versions[1].0 <= now
        {
            self.list_versions.remove(0);
        }
        match self.list_mode {
            ListMode::Good | ListMode::Stale => self.list_versions.first().map(|s| s.1.clone()),
            ListMode::Empty => Some("{\"leafs\":[]}".into()),
            ListMode::Garbage => Some("{\"leafs\":[{\"leaf\":1},".into()),
            ListMode::Dead => None,
        }
    }
}

impl MockLeaf {
    /// Returns the leaf's maximum number of concurrent attempts at its age.
    pub fn capacity(&self, now: Tick) -> u32 {
        let (age, slow_start) = (since(self.started_at, now), ms(self.service.slow_start_ms));
        let full = (u64::from(self.service.capacity) * u64::from(self.capacity_pct) / 100).max(1);
        if age >= slow_start {
            return full as u32;
        }
        ((full * (10 * slow_start + 90 * age) / (100 * slow_start)) as u32).max(1)
    }

    /// Returns whether the leaf is still warming up.
    pub fn is_warming_up(&self, now: Tick) -> bool {
        since(self.started_at, now) < ms(self.service.slow_start_ms)
    }

    /// Draws the time that the leaf takes for an attempt that it starts now.
    pub fn service_time(&self, now: Tick, random: &mut Random) -> Span {
        let base = ms(self.service.service_time_ms);
        let capacity = u64::from(self.capacity(now));
        // Above its capacity a leaf thrashes: its time grows with the square of the load.
        let in_progress = u64::from(self.in_progress).max(capacity);
        let overload_time =
            base * (in_progress * in_progress - capacity * capacity) / (capacity * capacity);
        let extra = match self.mode {
            Mode::Slow(more) => more,
            Mode::Dark => ms(3_600_000),
            Mode::Pauses { every, pause } => pause.saturating_sub(now % every),
            _ => 0,
        };
        base / 2 + random.below(base / 2 + 1) + overload_time + extra
    }

    /// Returns whether its version breaks the answer to an attempt that ends now.
    pub fn breaks_answer(&self, now: Tick, search: &str, random: &mut Random) -> bool {
        let in_progress = self.in_progress + 1;
        self.version_fault.breaks_answer(now, self.started_at, in_progress, search, random)
    }

    /// Returns whether it reports that it is leaving.
    pub fn signals_leaving(&self) -> bool {
        self.leaving && self.reports_leaving
    }

    /// Returns the headers of every response.
    pub fn headers(&self, now: Tick) -> ReplyHeaders {
        let busy = (f64::from(self.in_progress) / f64::from(self.capacity(now))).min(1.0);
        ReplyHeaders {
            postmarks: Vec::new(),
            busy: Some(format!("{busy:.2}")),
            age: Some((since(self.started_at, now) / MILLI).to_string()),
            state: self.signals_leaving().then(|| "leaving".to_string()),
            ..ReplyHeaders::default()
        }
    }

    /// Returns the response to an attempt that was rejected before work.
    pub fn rejection(&self, now: Tick, status: u16) -> LeafReply {
        LeafReply {
            status,
            headers: ReplyHeaders { rejected: true, ..self.headers(now) },
            body: Vec::new(),
        }
    }

    /// Returns the response to an attempt that was run.
    pub fn response(&mut self, now: Tick, outgoing: &OutgoingAttempt) -> LeafReply {
        let request: Value = serde_json::from_slice(&outgoing.body).unwrap_or(Value::Null);
        let question = request["question"].as_str().unwrap_or_default();
        let limit = request["limit"].as_u64().unwrap_or(0) as usize;
        let mut records =
            oracle::records(&self.service.name, question, request["key"].as_str(), limit);
        if self.mode == Mode::Disorder {
            records.reverse();
        }
        let list: Vec<Value> = records
            .iter()
            .map(|r| json!({ "id": r.id, "score": r.score, "data": { "service": r.service } }))
            .collect();
        let mut body = json!({ "records": list }).to_string().into_bytes();
        let postmark = leaf_api::postmark(&self.name, &outgoing.id, &outgoing.body_digest);
        let previous = self.postmark.replace(postmark.clone());
        let mut headers = self.headers(now);
        headers.index_version = Some(if self.mode == Mode::WrongIndexVersion {
            "w00".into()
        } else {
            self.service.index_version.clone()
        });
        headers.postmarks = match self.mode {
            Mode::NoPostmark => Vec::new(),
            Mode::TwoPostmarks => vec![postmark.clone(), postmark],
            Mode::StalePostmark => vec![previous.unwrap_or_default()],
            _ => vec![postmark],
        };
        if self.mode == Mode::Garbage {
            body.truncate(body.len() / 2);
        }
        LeafReply { status: 200, headers, body }
    }
}

/// Returns whether a response in this mode counts for its shard. A single record can't
/// be out of order.
pub fn answers_correctly(mode: Mode, limit: u64) -> bool {
    (mode == Mode::Disorder && limit == 1)
        || !matches!(
            mode,
            Mode::Garbage
                | Mode::Disorder
                | Mode::NoPostmark
                | Mode::TwoPostmarks
                | Mode::StalePostmark
                | Mode::WrongIndexVersion
        )
}
