//! The controller's whole state, its events and its commands.

use std::collections::BTreeMap;

use indexmap::IndexMap;

use super::members::Members;
use super::part::{Part, part};
use crate::consts::{ROT_LOOK, SEATS};
use crate::disk::rec::{Copy, Rec};
use crate::luck::{Luck, luck};
use crate::names::{PartId, Seat, parts};
use crate::time::Tick;
use crate::wire::msg::{Deed, Done, Life, Msg};

/// A wire to a member, as numbered by the daemon.
pub type WireId = u64;

/// The owner of a controller's state.
pub struct Core {
    pub seat: Seat,
    pub parts: Vec<Part>,
    pub members: Members,
    /// Followers by wire: the place of each part up to which we sent.
    pub followers: IndexMap<WireId, BTreeMap<PartId, u64>>,
    /// How far the followers were last brought: each part, then the cohort.
    pub pushed: Vec<u64>,
    /// Requests of our own operators that were handed over or wait.
    pub ops: IndexMap<u64, Op>,
    /// When the next part's files are read again, and which it is.
    pub look_at: Tick,
    pub look_next: usize,
    pub luck: Luck,
    pub counts: Counts,
}

/// An operator's request in hand at the seat it came to.
pub struct Op {
    pub request: String,
    pub expect: Option<u64>,
    pub deed: Deed,
    /// The seat it was handed to; `None` while no owner is known.
    pub sent: Option<Seat>,
    /// An earlier try ended without a word: it may have been applied.
    pub maybe: bool,
    /// Why the last try ended without a result.
    pub said: Option<String>,
    pub until: Tick,
}

/// What is counted.
#[derive(Clone, Default, Debug)]
pub struct Counts {
    pub accepted: u64,
    pub bounced: u64,
    pub claims: u64,
    pub owned: u64,
    pub resigned: u64,
    pub mended: u64,
    pub swept: u64,
    /// Parts whose files had rotted while we ran.
    pub rotted: u64,
    pub news: u64,
    pub news_bytes: u64,
    pub fenced: u64,
}

/// What happens to a controller.
pub enum Event {
    FromSeat {
        seat: Seat,
        msg: Msg,
    },
    FromWire {
        wire: WireId,
        msg: Msg,
    },
    WireGone {
        wire: WireId,
    },
    /// Every write of the part up to this token is synced.
    Synced {
        part: PartId,
        token: u64,
    },
    DiskTrouble {
        part: PartId,
        why: String,
    },
    /// A part's files were read again; what is wrong with them, if anything.
    Looked {
        part: PartId,
        trouble: Option<String>,
    },
    Operate {
        op: u64,
        request: String,
        expect: Option<u64>,
        deed: Deed,
    },
    /// An operator vouches that lost copies are lost for good.
    Vouch,
    /// The process goes down: give up every part now.
    Stop,
    Wake,
}

/// What a controller wants done.
pub enum Command {
    ToSeat {
        seat: Seat,
        msg: Msg,
    },
    ToWire {
        wire: WireId,
        msg: Msg,
    },
    /// Append a record to the part's log and sync it.
    Append {
        part: PartId,
        token: u64,
        rec: Rec,
    },
    /// Write the other slot, sync it, begin a new log.
    Slot {
        part: PartId,
        token: u64,
        copy: Copy,
    },
    /// Read the part's files again, behind all that was asked before.
    Look {
        part: PartId,
    },
    Tell {
        op: u64,
        done: Done,
    },
    /// Something an operator must hear of.
    Alarm(String),
}

/// Every other seat.
pub fn others(seat: Seat) -> impl Iterator<Item = Seat> {
    (0..SEATS as Seat).filter(move |s| *s != seat)
}

/// A controller that has read its disk. Parts not given are empty.
pub fn core(seat: Seat, found: Vec<(PartId, Life, Copy, u64)>, seed: u64, now: Tick) -> Core {
    let mut found: BTreeMap<PartId, _> =
        found.into_iter().map(|(id, life, copy, len)| (id, (life, copy, len))).collect();
    let list = parts()
        .map(|id| {
            let (life, copy, len) = found.remove(&id).unwrap_or((Life::Empty, Copy::default(), 0));
            part(id, life, copy, len, now)
        })
        .collect();
    Core {
        seat,
        parts: list,
        members: Members::default(),
        followers: IndexMap::new(),
        pushed: Vec::new(),
        ops: IndexMap::new(),
        look_at: now + ROT_LOOK,
        look_next: 0,
        luck: luck(seed ^ u64::from(seat)),
        counts: Counts::default(),
    }
}
