//! `step` of a querier's control thread.

use crate::consts;
use crate::control_plane::members::newer;
use crate::identifiers::CONFIG;
use crate::membership::neighbour_ring::ring;
use crate::membership::node_agent::{Command, Event, Watch, learn, places};
use crate::membership::{assignments, attestation, feed, status, updates};
use crate::protocol::message::Msg;
use crate::time::{Tick, ms};

/// How often a querier's control thread looks around.
pub const WAKE: crate::time::Span = ms(50);

/// Takes one event and says what to do.
pub fn step(w: &mut Watch, now: Tick, event: Event) -> Vec<Command> {
    let mut out = Vec::new();
    w.now = now;
    match event {
        Event::FromSeat { seat, msg } => match msg {
            // Said under another table it may be of a seat given away.
            Msg::Reach { places, stamp } if stamp == w.stamp => {
                if let Some(cell) = w.reach.get_mut(usize::from(seat)) {
                    *cell = places;
                    w.feed.at.insert(seat, now);
                }
            }
            Msg::Tenure { ref name, incarnation, count, rev, tell_membership, .. } => {
                if *name == w.me.name {
                    if incarnation == w.me.incarnation {
                        status::granted(w, Some(seat), count, rev);
                    }
                    if tell_membership && w.cohort.epoch > 0 {
                        out.push(Command::ToSeat { seat, msg: Msg::Tell(w.cohort.clone()) });
                    }
                } else if w.handed.contains_key(name) {
                    status::to_member(w, &name.clone(), msg, &mut out);
                }
            }
            msg => any(w, msg, false, &mut out),
        },
        Event::Seats(table) => learn(w, &table, &mut out),
        Event::FromMember { name, msg } => from_member(w, now, &name, msg, &mut out),
        Event::Word { service, word } => assignments::hear(w, service, word),
        Event::List(got) => assignments::listed(w, got, &mut out),
        Event::Stop => w.stopping = Some(now),
        Event::Drained => {
            w.drained = true;
            w.tenure.renew_at = now;
        }
        Event::Wake => {
            feed::follow(w, now, &mut out);
            status::gossip(w, now, &mut out);
            assignments::wake(w, now, &mut out);
            assignments::probe(w, now, &mut out);
        }
    }
    assignments::findings(w, now, &mut out);
    updates::settle_start(w, now);
    status::hold(w);
    updates::publish(w, now, &mut out);
    status::decide(w, now, &mut out);
    status::renew(w, now, &mut out);
    out
}

/// What may come from a seat as well as from a member.
fn any(w: &mut Watch, msg: Msg, member: bool, out: &mut Vec<Command>) {
    match msg {
        Msg::News { part, from, rev, entries }
            if updates::take(w, part, from, rev, &entries, out) && member =>
        {
            w.counts.news_from_members += 1;
        }
        Msg::Tell(cohort) if newer(&cohort, &w.cohort) => {
            w.cohort = cohort;
            attestation::adopt(w);
            w.ring = ring(&w.cohort, &w.me.name);
            // What we saw lets others settle: say so at once.
            w.tenure.renew_at = 0;
        }
        _ => {}
    }
}

fn from_member(w: &mut Watch, now: Tick, name: &str, msg: Msg, out: &mut Vec<Command>) {
    match msg {
        Msg::Gossip { name, core_age_ms, ready, places: theirs, asked, echo, attestation } => {
            let mut ahead =
                theirs.iter().any(|p| w.held.get(&p.part).is_some_and(|h| h.rev < p.rev));
            let config = theirs.iter().find(|p| p.part == CONFIG).map_or(0, |p| p.rev);
            attestation::learn_of(w, config);
            if let (Some(echo), Some(attestation)) = (echo, &attestation) {
                ahead |= attestation::take_in(w, echo, attestation);
            }
            if let Some(echo) = echo {
                status::spoke(w, echo, &name, (core_age_ms, ready, theirs));
            }
            if asked.is_some() {
                let attestation = attestation::attest(w, now);
                let msg = status::gossip_msg(w, now, None, asked, attestation);
                status::to_member(w, &name, msg, out);
            }
            // Ask a member only for what the core did not bring us in time.
            if ahead && config > 0 && status::core_age(w, now) >= consts::TENURE_WORRY {
                let msg = Msg::Follow { places: places(w), stamp: w.stamp };
                status::to_member(w, &name, msg, out);
            }
        }
        Msg::Seats { table, .. } => learn(w, &table, out),
        Msg::Follow { places, stamp } => {
            let list = updates::hand_on(w, &places);
            let cohort = Msg::Tell(w.cohort.clone());
            let seats = Msg::Seats { me: 0, table: w.table.clone() };
            let seats = (stamp != w.stamp).then_some(seats);
            for msg in list.into_iter().chain([cohort]).chain(seats) {
                status::to_member(w, name, msg, out);
            }
        }
        Msg::Renew { member, count, far } => {
            // Hand a neighbour's renewal over, if our own way to the core works.
            if status::core_age(w, now) < consts::TENURE_WORRY {
                w.handed.insert(member.name.clone(), now);
                w.counts.handed_renewals += 1;
                assignments::to_core(w, Msg::Renew { member, count, far }, out);
            }
        }
        Msg::Words { part, words } => assignments::handed(w, now, part, words),
        Msg::Tenure { name, incarnation, count, rev, .. }
            if name == w.me.name && incarnation == w.me.incarnation =>
        {
            status::granted(w, None, count, rev);
        }
        msg => any(w, msg, true, out),
    }
}
