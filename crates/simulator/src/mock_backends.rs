//! Leafs and the platform's list under the virtual clock.

use std::collections::BTreeMap;

use grebepath_core::http_api::leaf as edge;
use grebepath_core::http_api::leaf::{LeafReply, ReplyHeaders};
use grebepath_core::query::event::OutgoingAttempt;
use grebepath_core::random::Random;
use grebepath_core::time::{MILLI, Span, Tick, ms, since};
use serde_json::{Value, json};

use crate::oracle;
use crate::spec::{Service, Spec};

/// How a leaf misbehaves.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Mode {
    Good,
    Slow(Span),
    Dark,
    Pauses { every: Span, pause: Span },
    Garbage,
    Disorder,
    NoPostmark,
    TwoPostmarks,
    StalePostmark,
    WrongCut,
    Unrun,
}

/// Whether a leaf's process and machine are there.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Alive {
    Up,
    /// The process is gone; its machine refuses connections.
    Down,
    /// The machine is gone; nothing answers at all.
    Vanished,
}

/// A leaf.
pub struct MockLeaf {
    pub name: String,
    pub service: Service,
    pub zone: String,
    pub addr: String,
    pub mode: Mode,
    pub alive: Alive,
    /// Percent of what its service bears that this leaf bears.
    pub strength: u32,
    pub leaving: bool,
    /// When the first of our nodes learned that it leaves.
    pub known_leaving: Option<Tick>,
    pub born: Tick,
    pub live: u32,
    pub ran: u64,
    pub worst_pct: u32,
    /// Dispatches that came when it had all it bears.
    pub over: u64,
    pub mark: Option<String>,
}

/// All leafs, and the list as the platform shows it.
pub struct MockBackends {
    pub leafs: BTreeMap<String, MockLeaf>,
    /// Which leaf listens at an address.
    pub at: BTreeMap<String, String>,
    pub committed: Vec<(Tick, String)>,
    pub list_mode: ListMode,
    /// Whether leafs tell their age.
    pub ages: bool,
    pub lag: Span,
    pub next: u64,
}

/// How the list misbehaves.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ListMode {
    Good,
    Empty,
    Garbage,
    Dead,
    /// Shows what it showed when it began to.
    Stale,
}

/// The zones of the fleet.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// Ages that warm leafs have at the start of a run.
const WARM: Span = ms(3_600_000);

impl MockBackends {
    /// The leafs of a spec, warm; the world begins at `now`.
    pub fn new(spec: &Spec, now: Tick) -> Self {
        let mut b = MockBackends {
            leafs: BTreeMap::new(),
            at: BTreeMap::new(),
            committed: Vec::new(),
            list_mode: ListMode::Good,
            ages: true,
            lag: ms(spec.list_lag_ms),
            next: 1,
        };
        for s in &spec.services {
            for i in 0..s.leafs {
                let addr = b.address();
                b.begin(s.clone(), ZONES[i % 3], addr, now.saturating_sub(WARM));
            }
        }
        let text = b.truth();
        b.committed.push((now, text));
        b
    }

    /// An address that no leaf has had.
    pub fn address(&self) -> String {
        format!("127.1.{}.{}:8000", self.next / 200, 1 + self.next % 200)
    }

    /// Starts a leaf at an address.
    pub fn begin(&mut self, service: Service, zone: &str, addr: String, born: Tick) -> String {
        let name = format!("{}.{}", service.name, self.next);
        self.next += 1;
        self.at.insert(addr.clone(), name.clone());
        self.leafs.insert(
            name.clone(),
            MockLeaf {
                name: name.clone(),
                service,
                zone: zone.to_string(),
                addr,
                mode: Mode::Good,
                alive: Alive::Up,
                strength: 100,
                leaving: false,
                known_leaving: None,
                born,
                live: 0,
                ran: 0,
                worst_pct: 0,
                over: 0,
                mark: None,
            },
        );
        name
    }

    /// The list as it truly is.
    fn truth(&self) -> String {
        let leafs: Vec<Value> = self
            .leafs
            .values()
            .filter(|l| l.alive == Alive::Up)
            .map(|l| {
                json!({ "leaf": l.name, "service": l.service.name, "addr": l.addr,
                        "labels": { "zone": l.zone, "cut": l.service.cut,
                                    "state": if l.leaving { "leaving" } else { "ready" } } })
            })
            .collect();
        json!({ "leafs": leafs }).to_string()
    }

    /// Notes a change; the list shows it later.
    pub fn changed(&mut self, now: Tick) {
        let text = self.truth();
        self.committed.push((now + self.lag, text));
    }

    /// What the list answers now; `None` if it does not.
    pub fn list(&mut self, now: Tick) -> Option<String> {
        while self.list_mode != ListMode::Stale
            && self.committed.len() > 1
            && self.committed[1].0 <= now
        {
            self.committed.remove(0);
        }
        match self.list_mode {
            ListMode::Good | ListMode::Stale => self.committed.first().map(|s| s.1.clone()),
            ListMode::Empty => Some("{\"leafs\":[]}".into()),
            ListMode::Garbage => Some("{\"leafs\":[{\"leaf\":1},".into()),
            ListMode::Dead => None,
        }
    }
}

impl MockLeaf {
    /// What a leaf bears at its age.
    pub fn bears(&self, now: Tick) -> u32 {
        let (age, ramp) = (since(self.born, now), ms(self.service.ramp_ms));
        let full = (u64::from(self.service.bears) * u64::from(self.strength) / 100).max(1);
        if age >= ramp {
            return full as u32;
        }
        ((full * (10 * ramp + 90 * age) / (100 * ramp)) as u32).max(1)
    }

    /// Whether the leaf is still warming up.
    pub fn fresh(&self, now: Tick) -> bool {
        since(self.born, now) < ms(self.service.ramp_ms)
    }

    /// How long the leaf takes for a question that it begins now.
    pub fn takes(&self, now: Tick, random: &mut Random) -> Span {
        let base = ms(self.service.took_ms);
        let bear = u64::from(self.bears(now));
        // Beyond what it bears a leaf thrashes: its time grows with the square.
        let live = u64::from(self.live).max(bear);
        let over = base * (live * live - bear * bear) / (bear * bear);
        let extra = match self.mode {
            Mode::Slow(more) => more,
            Mode::Dark => ms(3_600_000),
            Mode::Pauses { every, pause } => pause.saturating_sub(now % every),
            _ => 0,
        };
        base / 2 + random.below(base / 2 + 1) + over + extra
    }

    /// Heads that every reply carries.
    pub fn heads(&self, now: Tick) -> ReplyHeaders {
        let busy = (f64::from(self.live) / f64::from(self.bears(now))).min(1.0);
        ReplyHeaders {
            postmarks: Vec::new(),
            busy: Some(format!("{busy:.2}")),
            age: Some((since(self.born, now) / MILLI).to_string()),
            state: self.leaving.then(|| "leaving".to_string()),
            ..ReplyHeaders::default()
        }
    }

    /// A reply without a run.
    pub fn turned_away(&self, now: Tick, status: u16) -> LeafReply {
        LeafReply {
            status,
            headers: ReplyHeaders { rejected: true, ..self.heads(now) },
            body: Vec::new(),
        }
    }

    /// The reply to a dispatch that was run.
    pub fn reply(&mut self, now: Tick, s: &OutgoingAttempt) -> LeafReply {
        let asked: Value = serde_json::from_slice(&s.body).unwrap_or(Value::Null);
        let question = asked["question"].as_str().unwrap_or_default();
        let limit = asked["limit"].as_u64().unwrap_or(0) as usize;
        let mut recs = oracle::records(&self.service.name, question, asked["key"].as_str(), limit);
        if self.mode == Mode::Disorder {
            recs.reverse();
        }
        let list: Vec<Value> = recs
            .iter()
            .map(|r| json!({ "id": r.id, "score": r.score, "data": { "service": r.service } }))
            .collect();
        let mut body = json!({ "records": list }).to_string().into_bytes();
        let mark = edge::postmark(&self.name, &s.id, &s.body_digest);
        let old = self.mark.replace(mark.clone());
        let mut heads = self.heads(now);
        heads.index_version =
            Some(if self.mode == Mode::WrongCut { "w00".into() } else { self.service.cut.clone() });
        heads.postmarks = match self.mode {
            Mode::NoPostmark => Vec::new(),
            Mode::TwoPostmarks => vec![mark.clone(), mark],
            Mode::StalePostmark => vec![old.unwrap_or_default()],
            _ => vec![mark],
        };
        if self.mode == Mode::Garbage {
            body.truncate(body.len() / 2);
        }
        LeafReply { status: 200, headers: heads, body }
    }
}

/// Whether a reply in this mode stands for the shard. One record alone can't
/// be out of order.
pub fn true_reply(mode: Mode, limit: u64) -> bool {
    (mode == Mode::Disorder && limit == 1)
        || !matches!(
            mode,
            Mode::Garbage
                | Mode::Disorder
                | Mode::NoPostmark
                | Mode::TwoPostmarks
                | Mode::StalePostmark
                | Mode::WrongCut
        )
}
