//! What a traffic thread knows of a leaf at first hand.

use crate::consts;
use crate::digest::{hash, pair};
use crate::http_api::leaf::SelfWord;
use crate::time::{MILLI, Span, Tick, ms, since};

/// One leaf seen from one traffic thread.
///
/// Invariant: `live` is the number of our dispatches that it has in hand.
pub struct Leaf {
    pub thing: u64,
    pub live: u64,
    /// Thousandths busy, as it last said.
    pub busy: u32,
    /// Earliest time at which the leaf can have started, by our clock.
    pub born: Tick,
    /// Whether the leaf itself told its age; before that it counts as new.
    pub told: bool,
    /// It told us that it leaves. Never taken back for this identity.
    pub leaving: bool,
    /// Typical time of a dispatch.
    pub typical: Span,
    pub row: u32,
    pub rest_until: Tick,
    /// Thousandths of our part of its allowance that we use. What the leaf
    /// itself shows may only lower our part, never raise it above the share.
    pub strength: u32,
    /// Dispatches it works on at once, as it last said; zero before that.
    pub slots: u64,
    /// What others have there (thousandths of a dispatch), smoothed.
    pub others: u64,
    /// Wires that we may have to it; nothing where they are not limited.
    pub connections: Option<u64>,
    /// What we may still send it while it is cold, in thousandths of a
    /// dispatch, and when that was last reckoned.
    pub cold_saved: u64,
    pub cold_at: Tick,
    /// When `strength` last changed.
    pub strength_at: Tick,
    /// Time of a dispatch when the leaf is at ease.
    pub usual: Span,
    /// Our rank among all threads for this leaf alone, under the current
    /// share: it depends on no other leaf, so views that differ in their lists
    /// of leafs still add up to the whole. Used while the leaf is fresh.
    pub rank: Option<u64>,
    /// Our rank when the service's leafs are dealt out in turn, which gives
    /// every thread nearly the same number of places. Used for warm leafs.
    pub dealt: Option<u64>,
}

/// A leaf that we hear of for the first time.
pub fn leaf(name: &str, now: Tick) -> Leaf {
    Leaf {
        thing: hash(name),
        live: 0,
        busy: 0,
        born: now,
        told: false,
        leaving: false,
        typical: 0,
        row: 0,
        rest_until: 0,
        strength: 1_000,
        slots: 0,
        others: 0,
        connections: None,
        cold_saved: 0,
        cold_at: now,
        strength_at: 0,
        usual: 0,
        rank: None,
        dealt: None,
    }
}

/// What the leaf may be given by the whole fleet at its age.
pub fn bears(leaf: &Leaf, full: u32, ramp: Span, now: Tick) -> u64 {
    let full = u64::from(full);
    let age = since(leaf.born, now);
    if age >= ramp {
        return full;
    }
    let floor = consts::RAMP_FLOOR_PCT;
    (full * (floor * ramp + (100 - floor) * age) / (100 * ramp)).max(1)
}

/// Whether the leaf is past its ramp.
pub fn warm(leaf: &Leaf, ramp: Span, now: Tick) -> bool {
    since(leaf.born, now) >= ramp
}

/// Notes what the leaf says of itself.
pub fn word(leaf: &mut Leaf, word: &SelfWord, now: Tick) {
    if let Some(busy) = word.busy {
        leaf.busy = busy;
    }
    if let Some(age) = word.age_ms {
        let born = now.saturating_sub(age.saturating_mul(MILLI));
        let restarted = born > leaf.born + consts::AGE_SLIP;
        if !leaf.told || restarted || born < leaf.born {
            leaf.born = born;
        }
        leaf.told = true;
    }
    leaf.leaving |= word.leaving;
}

/// Somebody else heard the leaf say that it is at least this old.
pub fn at_least(leaf: &mut Leaf, age_ms: u64, now: Tick) {
    if !leaf.told {
        leaf.born = leaf.born.min(now.saturating_sub(age_ms.saturating_mul(MILLI)));
    }
}

/// Notes a good reply.
pub fn good(leaf: &mut Leaf, took: Span) {
    leaf.row = 0;
    leaf.rest_until = 0;
    leaf.typical = if leaf.typical == 0 {
        took
    } else {
        leaf.typical - leaf.typical / consts::TYPICAL_WEIGHT + took / consts::TYPICAL_WEIGHT
    };
}

/// The leaf turned work away unrun.
pub fn turned(leaf: &mut Leaf, now: Tick) {
    lower(leaf, consts::STRENGTH_TURNED_PCT, now);
}

/// A good reply took this long: a busy leaf that takes much longer than it
/// does at ease has too much in hand; any other reply gives a little back.
pub fn strain(leaf: &mut Leaf, took: Span, now: Tick) {
    leaf.usual = match leaf.usual {
        0 => took,
        old if took < old => old - (old - took) / consts::TYPICAL_WEIGHT,
        old => old + (took - old) / consts::USUAL_DRIFT,
    };
    let slow = took > leaf.usual * consts::SLOW_PCT / 100 + consts::SLOW_MORE;
    if slow && leaf.busy >= consts::BUSY_FROM {
        lower(leaf, consts::STRENGTH_SLOW_PCT, now);
    } else if leaf.strength < 1_000 && since(leaf.strength_at, now) >= consts::STRENGTH_GAP {
        leaf.strength = (leaf.strength + consts::STRENGTH_RISE).min(1_000);
        leaf.strength_at = now;
    }
}

fn lower(leaf: &mut Leaf, pct: u32, now: Tick) {
    if since(leaf.strength_at, now) >= consts::STRENGTH_GAP {
        leaf.strength = (leaf.strength * pct / 100).max(consts::STRENGTH_MIN);
        leaf.strength_at = now;
    }
}

/// What we use of our part of a leaf's allowance now. Parts are small whole
/// numbers, so what remains of a place is open for its share of the time;
/// `mine` makes the threads take turns.
pub fn used(leaf: &Leaf, part: u64, mine: u64, now: Tick) -> u64 {
    let exact = part * u64::from(leaf.strength);
    let turn = pair(leaf.thing ^ mine, now / consts::STRENGTH_TURN) % 1_000;
    exact / 1_000 + u64::from(turn < exact % 1_000)
}

/// Notes a trouble; enough in a row rest the leaf, longer each time.
pub fn bad(leaf: &mut Leaf, now: Tick) {
    leaf.row += 1;
    if leaf.row >= consts::REST_AFTER {
        let twice = (leaf.row - consts::REST_AFTER).min(6);
        leaf.rest_until = now + (consts::REST_MIN << twice).min(consts::REST_MAX);
    }
}

/// How loaded the leaf looks, for comparing: what it says plus what we hold.
pub fn load(leaf: &Leaf, part: u64) -> u64 {
    u64::from(leaf.busy) + leaf.live * 1000 / part.max(1) + leaf.typical / ms(1)
}
