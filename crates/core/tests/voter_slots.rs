//! The table of the seats: how it merges, who is given a seat, what is kept,
//! and whose votes count.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use grebepath_core::command::Command;
use grebepath_core::control_plane::controller::{ControllerState, Event};
use grebepath_core::control_plane::step::WAKE;
use grebepath_core::identifiers::{CONFIG, Term, VoterSlot, partitions};
use grebepath_core::protocol::message::Message;
use grebepath_core::protocol::replica::ReplicaCondition;
use grebepath_core::replication::leader::AckedRound;
use grebepath_core::replication::partition::Role;
use grebepath_core::storage::record::ReplicaState;
use grebepath_core::storage::voter_file::{Start, VoterFile, begin, read, write};
use grebepath_core::time::{BOOT, SECOND, Tick};
use grebepath_core::voter_set::{
    NO_SLOT, SlotHolder, VoterSet, after_handover, after_takeover, fixed_replica_id,
    fixed_voter_set, initial_replica_id, initial_voter_set, keeps_zones_balanced, majority, merge,
    stamp,
};

fn addr(n: usize) -> String {
    format!("10.0.0.{n}:7")
}

fn seeds(n: usize) -> Vec<String> {
    (0..n).map(addr).collect()
}

fn held(table: &VoterSet, slot: usize, generation: u32, holder: u64) -> VoterSet {
    let mut new = table.clone();
    let zone = "c".to_string();
    new.slots[slot] = SlotHolder { generation, holder, addr: addr(9), zone };
    new
}

#[googletest::test]
fn voter_sets_merge_to_the_same_result_in_any_order() {
    let base = initial_voter_set(&seeds(3), 5);
    let news = [
        held(&base, 1, 2, 70),
        held(&base, 1, 2, 71),
        held(&base, 1, 3, 5),
        held(&base, 4, 2, 8),
        base.clone(),
    ];
    let all =
        |order: &[usize]| order.iter().fold(base.clone(), |t, i| merge(&t, &news[*i]).unwrap_or(t));
    let want = all(&[0, 1, 2, 3, 4]);
    for order in [[4, 3, 2, 1, 0], [2, 0, 4, 1, 3], [3, 1, 0, 2, 4], [1, 2, 3, 4, 0]] {
        expect_that!(all(&order), eq(&want));
    }
    expect_that!((want.slots[1].generation, want.slots[1].holder), eq((3, 5)));
    expect_that!(merge(&want, &base), none());
    expect_that!(stamp(&want), not(eq(stamp(&base))));
    // Another size is another fleet's.
    expect_that!(merge(&base, &initial_voter_set(&seeds(3), 3)), none());
    expect_that!(merge(&VoterSet::default(), &base), some(eq(&base)));
}

#[googletest::test]
fn the_initial_voter_set_has_no_more_slots_than_its_seeds_can_form_a_majority_of() {
    for (n, size, want) in [(3, 5, 5), (3, 3, 3), (2, 5, 1), (1, 3, 1), (4, 9, 3), (5, 9, 9)] {
        let table = initial_voter_set(&seeds(n), size);
        expect_that!(table.slots.len(), eq(want), "{n} seeds, {size} seats");
        let there = table.slots.iter().filter(|h| h.holder != 0).count();
        expect_that!(there, ge(majority(want)));
    }
}

#[googletest::test]
fn a_slot_does_not_move_to_a_zone_whose_loss_would_cost_the_majority() {
    let mut table = initial_voter_set(&seeds(5), 5);
    for (h, zone) in table.slots.iter_mut().zip(["a", "a", "b", "b", "c"]) {
        h.zone = zone.into();
    }
    expect_that!(keeps_zones_balanced(&table, 4, "a"), eq(false));
    expect_that!(keeps_zones_balanced(&table, 4, "c"), eq(true));
    expect_that!(keeps_zones_balanced(&table, 0, "a"), eq(true));
    expect_that!(keeps_zones_balanced(&table, 0, "c"), eq(true));
    // One zone has it all already: it can't get worse.
    table.slots.iter_mut().for_each(|h| h.zone = "a".into());
    expect_that!(keeps_zones_balanced(&table, 0, "a"), eq(true));
}

#[googletest::test]
fn a_damaged_voter_file_is_not_read() {
    let roll = VoterFile { me: 77, first: true, table: initial_voter_set(&seeds(3), 5) };
    let raw = write(&roll);
    expect_that!(read(&raw), some(eq(&roll)));
    for bit in 0..raw.len() * 8 {
        let mut bad = raw.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        expect_that!(read(&bad), none(), "bit {bit}");
    }
    for len in 0..raw.len() {
        expect_that!(read(&raw[..len]), none(), "{len} bytes");
    }
}

#[googletest::test]
fn a_starting_controller_takes_its_identity_from_its_disk_first() {
    let start = |slot: Option<VoterSlot>, first: bool, n: usize| Start {
        slot,
        first,
        seeds: seeds(3),
        size: 3,
        addr: addr(n),
    };
    // The first of all.
    let (roll, clear) = begin(None, &start(None, true, 1), true, 50);
    expect_that!((roll.me, roll.first, clear), eq((initial_replica_id(&addr(1)), true, false)));
    // A machine that is no seed, a lost disk, and files without a roll.
    for (first, n, bare) in [(true, 5, true), (false, 1, true), (true, 1, false), (false, 1, false)]
    {
        let (roll, clear) = begin(None, &start(None, first, n), bare, 50);
        expect_that!((roll.me, roll.first, clear), eq((51, false, !bare)));
        expect_that!(roll.table.slots.is_empty(), eq(true));
    }
    // The table on disk wins over any seeds and any `first`.
    let mine =
        VoterFile { me: 9, first: false, table: held(&initial_voter_set(&seeds(3), 3), 2, 4, 9) };
    let (roll, clear) = begin(Some(mine.clone()), &start(None, true, 1), false, 50);
    expect_that!((&roll, clear), eq((&mine, false)));
    // Its seat was given away: the files are of another life.
    let gone = VoterFile { me: 8, ..mine.clone() };
    let (roll, clear) = begin(Some(gone), &start(None, false, 1), false, 50);
    expect_that!((roll.me, clear), eq((51, true)));
    // Told its seat: by the seeds, unless the seat was given to another.
    let (roll, clear) = begin(None, &start(Some(1), false, 1), true, 50);
    expect_that!((roll.me, roll.first, clear), eq((fixed_replica_id(1), true, false)));
    let taken = VoterFile {
        me: fixed_replica_id(1),
        first: true,
        table: held(&fixed_voter_set(&seeds(3)), 1, 2, 9),
    };
    let (roll, clear) = begin(Some(taken), &start(Some(1), false, 1), false, 50);
    expect_that!((roll.me, clear), eq((51, true)));
}

/// A seat of three that has formed all parts, driven by hand.
struct Bench {
    core: ControllerState,
    now: Tick,
}

fn bench(slot: VoterSlot) -> Bench {
    let mut table = initial_voter_set(&seeds(3), 3);
    for (h, zone) in table.slots.iter_mut().zip(["a", "b", "c"]) {
        h.zone = zone.into();
    }
    let me = table.slots[usize::from(slot)].holder;
    let found =
        partitions().map(|p| (p, ReplicaCondition::Voting, ReplicaState::default(), 0)).collect();
    let zone = table.slots[usize::from(slot)].zone.clone();
    let roll = VoterFile { me, first: true, table };
    let core = ControllerState::new(roll, (&addr(slot.into()), &zone), found, 1, BOOT);
    Bench { core, now: BOOT }
}

/// One event; what it asks of the disk is done at once.
fn one(b: &mut Bench, event: Event) -> Vec<Command> {
    let mut todo = b.core.step(b.now, event);
    let mut i = 0;
    while i < todo.len() {
        let event = match &todo[i] {
            Command::AppendRecord { partition, token, .. }
            | Command::WriteSnapshot { partition, token, .. } => {
                Some(Event::Synced { partition: *partition, token: *token })
            }
            Command::WriteVoterFile { token, .. } => {
                Some(Event::VoterFileWritten { token: *token })
            }
            _ => None,
        };
        if let Some(event) = event {
            let more = b.core.step(b.now, event);
            todo.extend(more);
        }
        i += 1;
    }
    todo
}

fn wake(b: &mut Bench, span: Tick) -> Vec<Command> {
    let end = b.now + span;
    let mut out = Vec::new();
    while b.now < end {
        b.now += WAKE;
        out.extend(one(b, Event::Wake));
    }
    out
}

fn from(b: &Bench, slot: VoterSlot, message: Message) -> Event {
    let holder = b.core.voter_slots.voter_file.table.slots[usize::from(slot)].holder;
    Event::FromVoter { slot, replica_id: holder, connection: u64::from(slot), message }
}

fn apply(b: &mut Bench, holder: u64, n: usize, zone: &str) -> Vec<VoterSlot> {
    let (zone, stamp) = (zone.to_string(), b.core.voter_slots.stamp);
    let message = Message::JoinRequest { replica_id: holder, addr: addr(n), zone, stamp };
    let out = one(b, Event::FromConnection { connection: 99, message });
    let offer = out.into_iter().find_map(|c| match c {
        Command::ToConnection { connection: 99, message: Message::JoinOffer { free, .. } } => {
            Some(free)
        }
        _ => None,
    });
    offer.unwrap()
}

fn take(b: &mut Bench, slot: VoterSlot, generation: u32, holder: u64, zone: &str) {
    let holding = SlotHolder { generation, holder, addr: addr(9), zone: zone.into() };
    one(
        b,
        Event::FromConnection {
            connection: 99,
            message: Message::SlotTakeover { slot, holder: holding },
        },
    );
}

#[googletest::test]
fn a_slot_is_offered_only_if_its_holder_was_silent_while_this_controller_ran() {
    let mut b = bench(0);
    wake(&mut b, 2 * SECOND);
    expect_that!(apply(&mut b, 90, 9, "c"), is_empty());
    let here = from(&b, 2, Message::VoterAlive { stamp: 0 });
    one(&mut b, here);
    wake(&mut b, 2 * SECOND);
    // Seat 1 has been silent for long enough; but zone c has seat 2 already.
    expect_that!(apply(&mut b, 90, 9, "c"), is_empty());
    expect_that!(apply(&mut b, 90, 9, "b"), elements_are![eq(&1)]);
    // The machine whose disk was lost says so itself.
    expect_that!(apply(&mut b, 90, 2, "c"), elements_are![eq(&2)]);
    expect_that!(apply(&mut b, 90, 0, "a"), is_empty());
    // A pause of ours is not the others' silence.
    let mut b = bench(0);
    wake(&mut b, SECOND);
    b.now += 20 * SECOND;
    wake(&mut b, SECOND);
    expect_that!(apply(&mut b, 90, 9, "b"), is_empty());
    // Nobody gets a seat that is not offered, nor one of a wrong generation: one
    // of a handover is its holder's alone to give.
    let next = after_takeover(1);
    take(&mut b, 1, next, 90, "b");
    expect_that!(b.core.voter_slots.voter_file.table.slots[1].generation, eq(1));
    wake(&mut b, 3 * SECOND);
    for wrong in [2, 3, next - 1, next + 1, after_takeover(next)] {
        take(&mut b, 1, wrong, 90, "b");
        expect_that!(b.core.voter_slots.voter_file.table.slots[1].generation, eq(1), "{wrong}");
    }
    take(&mut b, 1, next, 90, "b");
    expect_that!(b.core.voter_slots.voter_file.table.slots[1].holder, eq(90));
    // And one generation has one holder.
    take(&mut b, 1, next, 91, "b");
    expect_that!(b.core.voter_slots.voter_file.table.slots[1].holder, eq(90));
}

#[googletest::test]
fn a_takeover_wins_over_every_handover_that_it_does_not_know() {
    let mut handed = 1;
    for _ in 0..5_000 {
        expect_that!(after_takeover(1), gt(handed));
        let Some(next) = after_handover(handed) else { break };
        expect_that!(next, gt(handed));
        handed = next;
    }
    // The last one before the next takeover's has no successor by handover.
    expect_that!(after_handover(handed), none());
    expect_that!(after_takeover(handed), eq(after_takeover(1)));
    // A vacant seat and one from a former build begin alike.
    expect_that!((after_takeover(0), after_handover(0)), eq((after_takeover(1), Some(2))));
}

/// Makes the seat the configuration's owner by the votes of seat 2.
fn owns(b: &mut Bench) -> Term {
    let partition = CONFIG;
    let sounds = |c: Command| match c {
        Command::ToVoter {
            slot: 2,
            message: Message::PreVoteRequest { partition: CONFIG, term },
        } => Some(term),
        _ => None,
    };
    let term = (0..100).find_map(|_| wake(b, WAKE).into_iter().find_map(sounds)).unwrap();
    let yes = from(
        b,
        2,
        Message::PreVoteResponse { partition, term, granted: true, current_term: Term::ZERO },
    );
    one(b, yes);
    let stamp = b.core.voter_slots.stamp;
    let grant = from(
        b,
        2,
        Message::VoteGranted { partition, term, written_term: Term::ZERO, revision: 0, stamp },
    );
    one(b, grant);
    term
}

fn serves(b: &Bench) -> bool {
    matches!(&b.core.partitions[0].role, Role::Leader(o) if o.is_serving)
}

#[googletest::test]
fn an_acknowledgement_under_another_voter_set_does_not_count() {
    let mut b = bench(0);
    let term = owns(&mut b);
    let partition = CONFIG;
    expect_that!(serves(&b), eq(false));
    let kept = |stamp| Message::AppendAck { partition, term, revision: 0, stamp };
    let other = from(&b, 2, kept(b.core.voter_slots.stamp ^ 1));
    let out = one(&mut b, other);
    expect_that!(serves(&b), eq(false));
    // It is told our table instead.
    let told = |c: &Command| {
        matches!(
            c,
            Command::ToConnection { connection: 2, message: Message::VoterSetUpdate { .. } }
        )
    };
    expect_that!(out.iter().any(told), eq(true));
    let stranger = Event::FromVoter {
        slot: 2,
        replica_id: 5,
        connection: 2,
        message: kept(b.core.voter_slots.stamp),
    };
    one(&mut b, stranger);
    expect_that!(serves(&b), eq(false));
    let good = from(&b, 2, kept(b.core.voter_slots.stamp));
    one(&mut b, good);
    expect_that!(serves(&b), eq(true));
}

#[googletest::test]
fn a_leader_discards_a_voters_acknowledgements_when_its_slot_changes_holder() {
    let mut b = bench(0);
    let term = owns(&mut b);
    let partition = CONFIG;
    let good = from(
        &b,
        2,
        Message::AppendAck { partition, term, revision: 0, stamp: b.core.voter_slots.stamp },
    );
    one(&mut b, good);
    expect_that!(serves(&b), eq(true));
    let old = b.core.voter_slots.stamp;
    // Seat 1 tells that seat 2 is another's.
    let table = held(&b.core.voter_slots.voter_file.table, 2, 2, 90);
    let news = from(&b, 1, Message::VoterSetUpdate { replica_id: 1, voter_set: table });
    one(&mut b, news);
    let Role::Leader(o) = &b.core.partitions[0].role else { panic!("no owner") };
    let unheard = AckedRound { number: 0, began_at: 0 };
    expect_that!((o.synced[1], o.synced[2], o.acked[2]), eq((None, None, unheard)));
    expect_that!(b.core.voter_slots.stamp, not(eq(old)));
    // What the old holder still says is nobody's word.
    let late = Event::FromVoter {
        slot: 2,
        replica_id: initial_replica_id(&addr(2)),
        connection: 2,
        message: Message::AppendAck {
            partition,
            term,
            revision: 0,
            stamp: b.core.voter_slots.stamp,
        },
    };
    one(&mut b, late);
    let Role::Leader(o) = &b.core.partitions[0].role else { panic!("no owner") };
    expect_that!(o.synced[2], none());
}

#[googletest::test]
fn a_voter_set_is_sent_and_applied_only_after_it_is_on_disk() {
    let mut b = bench(0);
    let table = held(&b.core.voter_slots.voter_file.table, 0, 2, 90);
    let news = from(&b, 1, Message::VoterSetUpdate { replica_id: 1, voter_set: table });
    let todo = b.core.step(b.now, news);
    let tells = |c: &Command| {
        matches!(c, Command::ToVoter { message: Message::VoterSetUpdate { .. }, .. })
            || matches!(c, Command::ToConnection { message: Message::VoterSetUpdate { .. }, .. })
    };
    expect_that!(todo.iter().any(tells), eq(false));
    expect_that!(b.core.slot, eq(0));
    let token = todo.iter().find_map(|c| match c {
        Command::WriteVoterFile { token, .. } => Some(*token),
        _ => None,
    });
    // Our own seat is another's: everything is given up, under a new name.
    let todo = b.core.step(b.now, Event::VoterFileWritten { token: token.unwrap() });
    expect_that!(b.core.slot, eq(NO_SLOT));
    expect_that!(
        b.core.partitions.iter().all(|p| p.condition == ReplicaCondition::Empty),
        eq(true)
    );
    let clears =
        |c: &Command| matches!(c, Command::WriteVoterFile { clear: true, roll, .. } if !roll.first);
    expect_that!(todo.iter().any(clears), eq(true));
}
