//! How a seat comes to own a part: sound, promise, gather grants, adopt the
//! newest copy, re-write it under the new epoch, then serve.

use super::core::{Command, Core, others};
use super::owner;
use super::part::{After, Claim, Part, Role, able};
use super::replica::{follow, keep, keep_whole};
use crate::consts::{self, MAJORITY, SEATS};
use crate::digest::{hash, pair};
use crate::disk::rec::{Copy, Rec, apply};
use crate::luck::{Luck, below};
use crate::names::{PartId, Seat};
use crate::time::{Span, Tick, since};
use crate::wire::msg::{Map, Msg};

/// The next epoch above `seen` that only this seat uses.
pub fn next_epoch(seen: u64, seat: Seat) -> u64 {
    (seen / SEATS as u64 + 1) * SEATS as u64 + u64::from(seat)
}

/// A seat's rank for a part: 0 claims first. Spreads the owners.
pub fn rank(id: PartId, seat: Seat) -> u64 {
    let thing = hash(&id.to_string());
    let mine = pair(thing, u64::from(seat));
    others(seat).filter(|s| pair(thing, u64::from(*s)) < mine).count() as u64
}

/// How long this seat lets a part be without an owner before it sounds.
///
/// A seat that has just started has nobody to wait for: a part with an owner is
/// not taken from it, since the others who hear that owner say no to a
/// sounding. So it sounds soon, and all that restart together are served soon.
fn patience(p: &Part, seat: Seat, luck: &mut Luck) -> Span {
    if p.fresh {
        return consts::OWNER_BOOT
            + rank(p.id, seat) * consts::CLAIM_BOOT_STAGGER
            + below(luck, consts::CLAIM_BOOT_STAGGER / 2);
    }
    consts::OWNER_SILENCE
        + rank(p.id, seat) * consts::CLAIM_STAGGER
        + below(luck, consts::CLAIM_JITTER)
}

/// Time passes for a seat that does not own the part.
pub fn wake(p: &mut Part, now: Tick, seat: Seat, luck: &mut Luck, out: &mut Vec<Command>) {
    if !able(p) {
        return;
    }
    match &p.role {
        Role::Follower { heard, .. } if since(*heard, now) >= patience(p, seat, luck) => {
            let epoch = next_epoch(p.copy.promised, seat);
            start_sounding(p, now, seat, epoch, out);
        }
        Role::Sounding { until, .. } if now >= *until => {
            follow(p, now, None);
        }
        Role::Claiming(c) if now >= c.until => {
            follow(p, now, None);
        }
        _ => {}
    }
}

/// Asks the others whether they would grant.
fn start_sounding(p: &mut Part, now: Tick, seat: Seat, epoch: u64, out: &mut Vec<Command>) {
    let mut yes = [false; SEATS];
    yes[usize::from(seat)] = true;
    p.role = Role::Sounding { epoch, yes, until: now + consts::CLAIM_PATIENCE };
    for to in others(seat) {
        out.push(Command::ToSeat { seat: to, msg: Msg::Sound { part: p.id, epoch } });
    }
}

/// An answer to a sounding.
pub fn sounded(
    p: &mut Part,
    now: Tick,
    (seat, from): (Seat, Seat),
    epoch: u64,
    (yes, promised): (bool, u64),
    out: &mut Vec<Command>,
) {
    let Role::Sounding { epoch: ours, yes: all, .. } = &mut p.role else { return };
    if *ours != epoch {
        return;
    }
    if promised >= epoch {
        // Somebody is further than we knew; sound again above that.
        let epoch = next_epoch(promised, seat);
        return start_sounding(p, now, seat, epoch, out);
    }
    all[usize::from(from)] = yes;
    if all.iter().filter(|y| **y).count() >= MAJORITY {
        start_claim(p, now, epoch, out);
    }
}

/// Promises to ourselves first; the others are asked once that is synced.
pub fn start_claim(p: &mut Part, now: Tick, epoch: u64, out: &mut Vec<Command>) {
    if epoch <= p.copy.promised || !able(p) {
        follow(p, now, None);
        return;
    }
    apply(&mut p.copy, &Rec::Promise { epoch });
    p.role = Role::Claiming(Claim {
        epoch,
        grants: [None; SEATS],
        fetch: None,
        until: now + consts::CLAIM_PATIENCE,
    });
    keep(p, now, Rec::Promise { epoch }, vec![After::OwnPromise { epoch }], out);
}

/// Our own promise is synced: ask the others.
pub fn own_promise(p: &mut Part, seat: Seat, epoch: u64, out: &mut Vec<Command>) {
    let here = (p.copy.epoch, p.copy.rev);
    let Role::Claiming(c) = &mut p.role else { return };
    if c.epoch != epoch {
        return;
    }
    c.grants[usize::from(seat)] = Some(here);
    for to in others(seat) {
        out.push(Command::ToSeat { seat: to, msg: Msg::Claim { part: p.id, epoch } });
    }
}

/// A seat granted our claim, with the place of its copy.
pub fn granted(
    p: &mut Part,
    now: Tick,
    (seat, from): (Seat, Seat),
    epoch: u64,
    at: (u64, u64),
    out: &mut Vec<Command>,
) {
    let Role::Claiming(c) = &mut p.role else { return };
    if c.epoch != epoch || c.fetch.is_some() {
        return;
    }
    c.grants[usize::from(from)] = Some(at);
    let list: Vec<(Seat, (u64, u64))> =
        (0..SEATS as Seat).filter_map(|s| c.grants[usize::from(s)].map(|g| (s, g))).collect();
    if list.len() < MAJORITY {
        return;
    }
    let own = (p.copy.epoch, p.copy.rev);
    match list.iter().max_by_key(|(_, g)| *g) {
        Some((best, g)) if *g > own && *best != seat => {
            c.fetch = Some(*best);
            c.until = now + consts::CLAIM_PATIENCE;
            let msg = Msg::AskWhole { part: p.id, nonce: epoch };
            out.push(Command::ToSeat { seat: *best, msg });
        }
        _ => adopt(p, now, epoch, out),
    }
}

/// The newest copy has come.
pub fn fetched(
    p: &mut Part,
    now: Tick,
    from: Seat,
    nonce: u64,
    at: (u64, u64),
    map: Map,
    out: &mut Vec<Command>,
) {
    let Role::Claiming(c) = &p.role else { return };
    let (epoch, known) = (c.epoch, c.grants[usize::from(from)]);
    if epoch != nonce || c.fetch != Some(from) || known.is_none_or(|k| at < k) {
        return;
    }
    if at.0 > epoch {
        // Somebody with a higher epoch wrote there meanwhile.
        follow(p, now, None);
        return;
    }
    let promised = p.copy.promised;
    super::feed::reseed(p, at.1, &map);
    p.copy = Copy { promised, epoch: at.0, rev: at.1, map };
    adopt(p, now, epoch, out);
}

/// Re-writes the adopted copy under our epoch. We serve once a majority,
/// ourselves or not, has synced that.
fn adopt(p: &mut Part, now: Tick, epoch: u64, out: &mut Vec<Command>) {
    p.copy.epoch = epoch;
    let rev = p.copy.rev;
    p.role = Role::Owner(Box::new(owner::fresh(epoch, now)));
    keep_whole(p, now, vec![After::OwnKept { epoch, rev }], out);
}

/// A denial: a higher epoch was promised somewhere.
pub fn denied(
    p: &mut Part,
    now: Tick,
    seat: Seat,
    epoch: u64,
    promised: u64,
    out: &mut Vec<Command>,
) {
    match &p.role {
        Role::Claiming(c) if c.epoch == epoch => {
            follow(p, now, None);
        }
        // A seat promised a claim that never came to be. It would refuse us
        // for ever; if most still follow us we claim again above it.
        Role::Owner(o) if o.epoch == epoch => {
            let live = owner::answering(o, seat, now);
            super::replica::resign(p, now, None, out);
            if live {
                start_claim(p, now, next_epoch(promised.max(p.copy.promised), seat), out);
            }
        }
        _ => {}
    }
}

/// Gives up all parts, so that others may take them at once.
pub fn stop(core: &mut Core, now: Tick, out: &mut Vec<Command>) {
    for p in &mut core.parts {
        super::replica::resign(p, now, None, out);
    }
}
