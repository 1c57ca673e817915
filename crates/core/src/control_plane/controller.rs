//! The controller's whole state, its events and its commands.

use std::collections::BTreeMap;

use indexmap::{IndexMap, IndexSet};

use crate::consts::ROT_LOOK;
use crate::control_plane::members::Members;
use crate::identifiers::{PartId, Seat, parts};
use crate::protocol::message::{Deed, Done, Life, Msg};
use crate::random::{Luck, luck, mix};
use crate::replication::partition::{Part, part};
use crate::storage::record::{Copy, Rec};
use crate::time::{Span, Tick};
use crate::voters::voter_file::Roll;
use crate::voters::voter_set::{NOBODY, seat_of};
use crate::voters::voter_slots::{Seating, seating};

/// A wire to a member, as numbered by the daemon.
pub type WireId = u64;

/// Numbers of lent requests begin here, beyond those that the daemon gives.
const LENT: u64 = 1 << 63;

/// Sets the numbers of attempts apart from all else that a seed gives.
const ATTEMPTS: u64 = 0x6174_7465_6d70_7473;

/// The leader of a controller's state.
pub struct Core {
    /// Ours by the table that we hold, or `NOBODY`.
    pub seat: Seat,
    pub seating: Seating,
    pub parts: Vec<Part>,
    pub members: Members,
    /// Followers by wire: the place of each part up to which we sent.
    pub followers: IndexMap<WireId, BTreeMap<PartId, u64>>,
    /// How far the followers were last brought: each part, then the cohort.
    pub pushed: Vec<u64>,
    /// Requests of our own operators that were handed over or wait.
    pub ops: IndexMap<u64, Op>,
    /// Those of them that a controller without a seat handed to us.
    pub lent: IndexMap<u64, Lent>,
    pub next_lent: u64,
    /// Number of the last attempt to have a request carried out. Begins anywhere,
    /// so that no number of a former process comes again.
    pub next_attempt: u64,
    /// Attempts of others that reached us, the oldest first.
    pub attempts_seen: IndexSet<u64>,
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
    /// To whom it was handed; `None` while no leader is known.
    pub sent: Option<Forwarding>,
    /// Number of the latest attempt.
    pub attempt: u64,
    /// An earlier try ended without a word: it may have been applied.
    pub maybe: bool,
    /// An attempt was not meant for one term alone.
    pub unfenced: bool,
    /// Why the last try ended without a result.
    pub said: Option<String>,
    pub until: Tick,
}

/// To whom a request was handed.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Forwarding {
    pub seat: Seat,
    /// The term of the leader that it is meant for; zero for any.
    pub term: u64,
}

/// Where a request came from that was lent to us.
pub struct Lent {
    pub wire: WireId,
    /// Its number there.
    pub number: u64,
    pub attempt: u64,
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
    /// On a wire that `holder` opened as the holder of `seat`.
    FromSeat {
        seat: Seat,
        holder: u64,
        wire: WireId,
        msg: Msg,
    },
    /// On a wire that we opened to a controller.
    Answer {
        msg: Msg,
    },
    /// Somebody opened a wire to us.
    Opened {
        wire: WireId,
    },
    /// The roll of this token is on disk.
    Kept {
        token: u64,
    },
    RollTrouble {
        why: String,
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
    /// To every controller that we know a way to.
    ToAll {
        msg: Msg,
    },
    /// The table of the seats or our place in it changed: see to the wires.
    Seats,
    /// Keep the roll; with `clear`, set all parts' files aside before.
    Keep {
        token: u64,
        roll: Roll,
        clear: bool,
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
    /// What an operator is told, once for each request.
    Tell {
        op: u64,
        done: Done,
    },
    /// Our own answer, as the leader, to an attempt of this process. `step` takes
    /// it back; it never comes out.
    OwnAnswer {
        op: u64,
        attempt: u64,
        done: Done,
    },
    /// Wake us after this time, beside the wakes that come anyway.
    WakeAfter {
        span: Span,
    },
    /// Something an operator must hear of.
    Alarm(String),
}

/// A controller that has read its disk. Parts not given are empty.
pub fn core(
    roll: Roll,
    here: (&str, &str),
    found: Vec<(PartId, Life, Copy, u64)>,
    seed: u64,
    now: Tick,
) -> Core {
    let seat = seat_of(&roll.table, roll.me).unwrap_or(NOBODY);
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
        luck: luck(seed ^ roll.me),
        seating: seating(roll, here, now),
        parts: list,
        members: Members::default(),
        followers: IndexMap::new(),
        pushed: Vec::new(),
        ops: IndexMap::new(),
        lent: IndexMap::new(),
        next_lent: LENT,
        next_attempt: mix(mix(seed) ^ ATTEMPTS),
        attempts_seen: IndexSet::new(),
        look_at: now + ROT_LOOK,
        look_next: 0,
        counts: Counts::default(),
    }
}
