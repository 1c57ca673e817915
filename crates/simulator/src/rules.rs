//! The checkers of what must never happen. They look at what the fleet does
//! from outside and know nothing of its code.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use grebepath_core::time::{SECOND, Tick, ms};

/// A broken promise.
#[derive(Clone, Debug)]
pub struct Violation {
    pub at: Tick,
    pub rule: u8,
    pub text: String,
}

/// What the checkers have noted.
#[derive(Default)]
pub struct Rules {
    pub found: Vec<Violation>,
    pub counts: BTreeMap<u8, u64>,
    /// Lines of what happened lately, written out with a violation.
    pub ring: VecDeque<String>,
    /// Ring at the first violation.
    pub story: Vec<String>,
    /// Questions that callers asked.
    pub asked: BTreeSet<String>,
    /// What leafs truly answered, by query: (service, question).
    pub ran: BTreeMap<String, Vec<(String, String)>>,
    /// Accepted configurations: when, revision.
    pub accepted: Vec<(Tick, u64)>,
    /// The longest time after a newer configuration was accepted at which a
    /// call began that was answered by an old one.
    pub stalest: Tick,
    /// Highest revision each querier has obeyed, over all its lives.
    pub obeyed: BTreeMap<usize, u64>,
    /// What a part holds at a revision, as first seen by anyone.
    pub truth: BTreeMap<(u32, u64), u64>,
    /// Emptied zones, with the time from which they must get nothing.
    pub drained: BTreeMap<String, Tick>,
    /// Revision of the last order about a zone whose outcome is known:
    /// outcomes may be told in another order than they came to be.
    pub zone_rev: BTreeMap<String, u64>,
    pub firsts: Vec<Tick>,
    pub seconds: Vec<Tick>,
    /// (query, service) pairs that were dispatched: the next is a second try.
    pub sent: HashSet<u64>,
    /// Restarts after which service must be back.
    pub restarts: Vec<Restart>,
    /// Restarts that were judged, for the report.
    pub backs: Vec<Restart>,
}

/// A restart of everything, and the calls that began from 12 to 15 s after it:
/// how many of each kind, and how many of them were answered in full.
#[derive(Default)]
pub struct Restart {
    pub at: Tick,
    pub made: BTreeMap<String, u64>,
    pub full: BTreeMap<String, u64>,
    /// When the first full answer of each kind was given.
    pub first: BTreeMap<String, Tick>,
    /// A change that an operator asks for after the restart, and when it was
    /// accepted.
    pub order: Option<usize>,
    pub accepted: Option<Tick>,
    /// Something else befell the fleet before service had to be back: then the
    /// end of all troubles is judged, not this.
    pub disturbed: bool,
}

/// Lines that the ring keeps.
const RING: usize = 400;

/// Violations that are kept with their text.
const KEPT: usize = 40;

/// What the brief allows, in its own numbers: a fifth, and as the small slack
/// 20 tries over all nodes, one try a thread, and a fifth of the most that 200 ms
/// of traffic held (see `docs/topics/overload.md`).
const FIFTH: usize = 5;

const SLACK: usize = 20;

const BURST: Tick = ms(200);

const WINDOW: Tick = 10 * SECOND;

/// Of a hundred calls of a kind so many must be full 12 s after a restart.
const BACK_PCT: u64 = 95;

impl Rules {
    /// Notes a line of the story.
    pub fn tell(&mut self, at: Tick, text: impl FnOnce() -> String) {
        if !self.story.is_empty() {
            return;
        }
        if self.ring.len() >= RING {
            self.ring.pop_front();
        }
        self.ring.push_back(format!("{:>9.3} s {}", at as f64 / 1e6, text()));
    }

    /// Notes a violation.
    pub fn violated(&mut self, at: Tick, rule: u8, text: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.found.is_empty() {
            self.story = self.ring.iter().cloned().collect();
        }
        if self.found.len() < KEPT {
            self.found.push(Violation { at, rule, text });
        }
    }

    /// Rule 1: every claimed service answered this very question for this query.
    pub fn claims(&mut self, now: Tick, query: &str, services: &[String], question: &str) {
        let list = self.ran.remove(query).unwrap_or_default();
        for service in services {
            if !list.iter().any(|(s, q)| s == service && q == question) {
                self.violated(now, 1, format!("{query} claims {service}, which never answered it"));
            }
        }
    }

    /// Rule 5: a leaf runs a question; somebody must have asked it just so.
    pub fn runs(&mut self, now: Tick, leaf: &str, question: &str) {
        if !self.asked.contains(question) {
            self.violated(now, 5, format!("{leaf} ran {question:?}, which nobody asked"));
        }
    }

    /// A leaf has truly answered a dispatch.
    pub fn answers(&mut self, service: &str, id: &str, question: &str) {
        let query = id.rsplit_once('.').map_or(id, |q| q.0);
        let row = (service.to_string(), question.to_string());
        self.ran.entry(query.to_string()).or_default().push(row);
    }

    /// Rule 9: an answer that began at `began` was given under `revision`.
    pub fn obeys(&mut self, now: Tick, began: Tick, revision: u64, who: &str) {
        let newer = self
            .accepted
            .iter()
            .filter(|(_, accepted)| *accepted > revision)
            .map(|(at, _)| *at)
            .min();
        self.stalest = self.stalest.max(newer.map_or(0, |at| began.saturating_sub(at)));
        let due = self
            .accepted
            .iter()
            .filter(|(at, _)| at + 3 * SECOND <= began)
            .map(|(_, revision)| *revision)
            .max()
            .unwrap_or(0);
        if revision < due {
            let text = format!("{who} answers by revision {revision}, {due} is 3 s old");
            self.violated(now, 9, text);
        }
    }

    /// Rule 9: a querier takes a view; it must never go back.
    pub fn views(&mut self, now: Tick, querier: usize, revision: u64) {
        let old = self.obeyed.entry(querier).or_insert(0);
        let was = *old;
        *old = was.max(revision);
        if revision < was {
            let text = format!("querier {querier} slips from revision {was} to {revision}");
            self.violated(now, 9, text);
        }
    }

    /// Rule 12: a revision of a part is the same for everybody.
    pub fn same(&mut self, now: Tick, part: u32, revision: u64, sum: u64) {
        let first = *self.truth.entry((part, revision)).or_insert(sum);
        if first != sum {
            self.violated(now, 12, format!("part {part} has two truths at revision {revision}"));
        }
    }

    /// Rules 7 and 8: a dispatch goes to a leaf.
    pub fn sends(
        &mut self,
        now: Tick,
        who: &str,
        leaf: &str,
        zone: &str,
        known_leaving: Option<Tick>,
    ) {
        if let Some(at) = known_leaving
            && now > at + 3 * SECOND
        {
            let late = (now - at) as f64 / 1e6;
            self.violated(now, 7, format!("{who} sends to {leaf}, known to leave for {late:.2} s"));
        }
        if let Some(from) = self.drained.get(zone)
            && now > *from
        {
            let late = (now - from) as f64 / 1e6;
            self.violated(
                now,
                8,
                format!("{who} sends to {leaf} in emptied zone {zone}, {late:.2} s late"),
            );
        }
    }

    /// Rule 11: a fresh leaf has `live` in hand and bears `bears`.
    pub fn carries(&mut self, now: Tick, leaf: &str, live: u32, bears: u32) {
        if live * 2 > bears * 3 + 1 {
            self.violated(now, 11, format!("fresh {leaf} has {live} in hand and bears {bears}"));
        }
    }

    /// A dispatch for a service of a query: the first of its kind, or a second try?
    pub fn tries(&mut self, now: Tick, id: &str, service: &str) {
        let query = id.rsplit_once('.').map_or(id, |q| q.0);
        let mut hash = DefaultHasher::new();
        (query, service).hash(&mut hash);
        let list =
            if self.sent.insert(hash.finish()) { &mut self.firsts } else { &mut self.seconds };
        list.push(now);
    }

    /// Rule 6: a request arrives at a leaf, run or turned away.
    pub fn arrives(&mut self, now: Tick, who: &str, leaf: &str, is: &str, meant: &str) {
        if is != meant {
            self.violated(now, 6, format!("{who}'s request for {meant} reaches {leaf} of {is}"));
        }
    }

    /// Rule 10, over any window of 10 s: the most second tries beyond a fifth of
    /// the first dispatches; also their greatest number in such a window.
    pub fn retries(&self) -> (i64, usize) {
        let (mut worst, mut most) = (0i64, 0);
        // The worst windows begin or end with a second try.
        let starts = self.seconds.iter().copied();
        let ends = self.seconds.iter().map(|t| (t + 1).saturating_sub(WINDOW));
        for from in starts.chain(ends) {
            let n = within(&self.seconds, from, WINDOW);
            let fair = within(&self.firsts, from, WINDOW) / FIFTH;
            worst = worst.max(n as i64 - fair as i64);
            most = most.max(n);
        }
        (worst, most)
    }

    /// The small slack: what may come on top of a fifth.
    pub fn slack(&self, threads: usize) -> usize {
        let burst = self.firsts.iter().map(|t| within(&self.firsts, *t, BURST)).max().unwrap_or(0);
        SLACK + threads + burst / FIFTH
    }

    /// Checks that can be made only at the end.
    pub fn finish(&mut self, now: Tick, threads: usize) {
        let ((worst, _), allowed) = (self.retries(), self.slack(threads));
        if worst > allowed as i64 {
            let text = format!("{worst} second tries over a fifth in 10 s, {allowed} allowed");
            self.violated(now, 10, text);
        }
        for back in std::mem::take(&mut self.restarts) {
            let when = back.at as f64 / 1e6;
            for (kind, made) in back.made.iter().filter(|_| !back.disturbed) {
                let full = back.full.get(kind).copied().unwrap_or(0);
                // One call may always be unlucky.
                if full < (made * BACK_PCT / 100).min(made - 1) {
                    let text = format!(
                        "12 s after the restart at {when:.1} s {full} of {made} {kind} are full"
                    );
                    self.violated(now, 12, text);
                }
            }
            let late = back.accepted.is_none_or(|at| at > back.at + 12 * SECOND);
            if !back.disturbed && back.order.is_some() && late && now > back.at + 12 * SECOND {
                let text = format!("12 s after the restart at {when:.1} s no change is accepted");
                self.violated(now, 12, text);
            }
            self.backs.push(back);
        }
    }

    /// A call of a kind began at `began` and has come to its end.
    pub fn ends(&mut self, began: Tick, now: Tick, kind: &str, full: bool) {
        for back in &mut self.restarts {
            if began < back.at {
                continue;
            }
            if full {
                back.first.entry(kind.to_string()).or_insert(now);
            }
            if began >= back.at + ms(12_000) && began < back.at + ms(15_000) {
                *back.made.entry(kind.to_string()).or_default() += 1;
                *back.full.entry(kind.to_string()).or_default() += u64::from(full);
            }
        }
    }

    /// Something befalls the fleet: a restart that is not yet over is no longer
    /// the only trouble.
    pub fn disturb(&mut self, now: Tick) {
        for back in self.restarts.iter_mut().filter(|b| now < b.at + 15 * SECOND) {
            back.disturbed = true;
        }
    }
}

/// Rule of a text of `check`: they begin with `rule N:`.
pub fn rule_of(text: &str) -> u8 {
    text.strip_prefix("rule ").and_then(|t| t.split(':').next()?.parse().ok()).unwrap_or(3)
}

/// How many of a list, which is in order, lie in the window that begins at `from`.
fn within(list: &[Tick], from: Tick, span: Tick) -> usize {
    let a = list.partition_point(|t| *t < from);
    list.partition_point(|t| *t < from + span) - a
}
