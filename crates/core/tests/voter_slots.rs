//! The voter set: how two versions merge, which controller may take over a slot, what is stored,
//! and whose acknowledgements count.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use grebepath_core::command::Command;
use grebepath_core::control_plane::controller::{ControllerState, Event};
use grebepath_core::control_plane::step::WAKE_INTERVAL;
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

/// Returns the voter set with another holder of a slot.
fn with_holder(table: &VoterSet, slot: usize, generation: u32, holder: u64) -> VoterSet {
    let mut new = table.clone();
    let zone = "c".to_string();
    new.slots[slot] = SlotHolder { generation, replica_id: holder, addr: addr(9), zone };
    new
}

#[googletest::test]
fn voter_sets_merge_to_the_same_result_in_any_order() {
    let base = initial_voter_set(&seeds(3), 5);
    let updates = [
        with_holder(&base, 1, 2, 70),
        with_holder(&base, 1, 2, 71),
        with_holder(&base, 1, 3, 5),
        with_holder(&base, 4, 2, 8),
        base.clone(),
    ];
    let all = |order: &[usize]| {
        order.iter().fold(base.clone(), |t, i| merge(&t, &updates[*i]).unwrap_or(t))
    };
    let want = all(&[0, 1, 2, 3, 4]);
    for order in [[4, 3, 2, 1, 0], [2, 0, 4, 1, 3], [3, 1, 0, 2, 4], [1, 2, 3, 4, 0]] {
        expect_that!(all(&order), eq(&want));
    }
    expect_that!((want.slots[1].generation, want.slots[1].replica_id), eq((3, 5)));
    expect_that!(merge(&want, &base), none());
    expect_that!(stamp(&want), not(eq(stamp(&base))));
    // A voter set of another size belongs to another cluster.
    expect_that!(merge(&base, &initial_voter_set(&seeds(3), 3)), none());
    expect_that!(merge(&VoterSet::default(), &base), some(eq(&base)));
}

#[googletest::test]
fn the_initial_voter_set_has_no_more_slots_than_its_seeds_can_form_a_majority_of() {
    for (n, size, want) in [(3, 5, 5), (3, 3, 3), (2, 5, 1), (1, 3, 1), (4, 9, 3), (5, 9, 9)] {
        let table = initial_voter_set(&seeds(n), size);
        expect_that!(table.slots.len(), eq(want), "{n} seeds, {size} slots");
        let holders = table.slots.iter().filter(|h| h.replica_id != 0).count();
        expect_that!(holders, ge(majority(want)));
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
    // One zone holds all slots already, so a move can't make the balance worse.
    table.slots.iter_mut().for_each(|h| h.zone = "a".into());
    expect_that!(keeps_zones_balanced(&table, 0, "a"), eq(true));
}

#[googletest::test]
fn a_damaged_voter_file_is_not_read() {
    let voter_file = VoterFile {
        replica_id: 77,
        is_original_disk: true,
        voter_set: initial_voter_set(&seeds(3), 5),
    };
    let bytes = write(&voter_file);
    expect_that!(read(&bytes), some(eq(&voter_file)));
    for bit in 0..bytes.len() * 8 {
        let mut bad = bytes.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        expect_that!(read(&bad), none(), "bit {bit}");
    }
    for len in 0..bytes.len() {
        expect_that!(read(&bytes[..len]), none(), "{len} bytes");
    }
}

#[googletest::test]
fn a_starting_controller_takes_its_identity_from_its_disk_first() {
    let start = |slot: Option<VoterSlot>, first: bool, n: usize| Start {
        slot,
        is_first_start: first,
        seeds: seeds(3),
        size: 3,
        addr: addr(n),
    };
    // The first start of a seed.
    let (voter_file, clear) = begin(None, &start(None, true, 1), true, 50);
    expect_that!(
        (voter_file.replica_id, voter_file.is_original_disk, clear),
        eq((initial_replica_id(&addr(1)), true, false))
    );
    // A machine that is not a seed, a lost disk, and files without a voter file.
    for (first, n, bare) in [(true, 5, true), (false, 1, true), (true, 1, false), (false, 1, false)]
    {
        let (voter_file, clear) = begin(None, &start(None, first, n), bare, 50);
        expect_that!(
            (voter_file.replica_id, voter_file.is_original_disk, clear),
            eq((51, false, !bare))
        );
        expect_that!(voter_file.voter_set.slots.is_empty(), eq(true));
    }
    // The voter set on disk takes precedence over any seeds and any `first`.
    let own_file = VoterFile {
        replica_id: 9,
        is_original_disk: false,
        voter_set: with_holder(&initial_voter_set(&seeds(3), 3), 2, 4, 9),
    };
    let (voter_file, clear) = begin(Some(own_file.clone()), &start(None, true, 1), false, 50);
    expect_that!((&voter_file, clear), eq((&own_file, false)));
    // Another replica took over its slot, so its files are cleared.
    let replaced = VoterFile { replica_id: 8, ..own_file.clone() };
    let (voter_file, clear) = begin(Some(replaced), &start(None, false, 1), false, 50);
    expect_that!((voter_file.replica_id, clear), eq((51, true)));
    // A configured slot: the seeds decide, unless another replica took over the slot.
    let (voter_file, clear) = begin(None, &start(Some(1), false, 1), true, 50);
    expect_that!(
        (voter_file.replica_id, voter_file.is_original_disk, clear),
        eq((fixed_replica_id(1), true, false))
    );
    let taken = VoterFile {
        replica_id: fixed_replica_id(1),
        is_original_disk: true,
        voter_set: with_holder(&fixed_voter_set(&seeds(3)), 1, 2, 9),
    };
    let (voter_file, clear) = begin(Some(taken), &start(Some(1), false, 1), false, 50);
    expect_that!((voter_file.replica_id, clear), eq((51, true)));
}

/// A controller that holds one of three slots and votes in all partitions, driven by the test.
struct TestController {
    core: ControllerState,
    now: Tick,
}

fn controller_in(slot: VoterSlot) -> TestController {
    let mut table = initial_voter_set(&seeds(3), 3);
    for (h, zone) in table.slots.iter_mut().zip(["a", "b", "c"]) {
        h.zone = zone.into();
    }
    let me = table.slots[usize::from(slot)].replica_id;
    let found =
        partitions().map(|p| (p, ReplicaCondition::Voting, ReplicaState::default(), 0)).collect();
    let zone = table.slots[usize::from(slot)].zone.clone();
    let voter_file = VoterFile { replica_id: me, is_original_disk: true, voter_set: table };
    let core = ControllerState::new(voter_file, (&addr(slot.into()), &zone), found, 1, BOOT);
    TestController { core, now: BOOT }
}

/// Delivers one event, completes the requested disk writes immediately, and returns all commands.
fn deliver(controller: &mut TestController, event: Event) -> Vec<Command> {
    let mut commands = controller.core.step(controller.now, event);
    let mut i = 0;
    while i < commands.len() {
        let event = match &commands[i] {
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
            let more = controller.core.step(controller.now, event);
            commands.extend(more);
        }
        i += 1;
    }
    commands
}

/// Advances the time with regular wake-ups and returns all commands.
fn run_for(controller: &mut TestController, span: Tick) -> Vec<Command> {
    let end = controller.now + span;
    let mut out = Vec::new();
    while controller.now < end {
        controller.now += WAKE_INTERVAL;
        out.extend(deliver(controller, Event::Wake));
    }
    out
}

/// Returns the event of a message from the holder of a slot.
fn from_voter(controller: &TestController, slot: VoterSlot, message: Message) -> Event {
    let holder =
        controller.core.voter_slots.voter_file.voter_set.slots[usize::from(slot)].replica_id;
    Event::FromVoter { slot, replica_id: holder, connection: u64::from(slot), message }
}

/// Requests a slot for a spare replica and returns the slots that it is offered.
fn request_slots(
    controller: &mut TestController,
    holder: u64,
    n: usize,
    zone: &str,
) -> Vec<VoterSlot> {
    let (zone, stamp) = (zone.to_string(), controller.core.voter_slots.stamp);
    let message = Message::JoinRequest { replica_id: holder, addr: addr(n), zone, stamp };
    let out = deliver(controller, Event::FromConnection { connection: 99, message });
    let offer = out.into_iter().find_map(|c| match c {
        Command::ToConnection { connection: 99, message: Message::JoinOffer { free, .. } } => {
            Some(free)
        }
        _ => None,
    });
    offer.unwrap()
}

/// Takes over a slot for a replica.
fn take_over(
    controller: &mut TestController,
    slot: VoterSlot,
    generation: u32,
    holder: u64,
    zone: &str,
) {
    let new_holder =
        SlotHolder { generation, replica_id: holder, addr: addr(9), zone: zone.into() };
    deliver(
        controller,
        Event::FromConnection {
            connection: 99,
            message: Message::SlotTakeover { slot, holder: new_holder },
        },
    );
}

#[googletest::test]
fn a_slot_is_offered_only_if_its_holder_was_silent_while_this_controller_ran() {
    let mut controller = controller_in(0);
    run_for(&mut controller, 2 * SECOND);
    expect_that!(request_slots(&mut controller, 90, 9, "c"), is_empty());
    let alive = from_voter(&controller, 2, Message::VoterAlive { stamp: 0 });
    deliver(&mut controller, alive);
    run_for(&mut controller, 2 * SECOND);
    // The holder of slot 1 has been silent for long enough, but zone c holds slot 2 already.
    expect_that!(request_slots(&mut controller, 90, 9, "c"), is_empty());
    expect_that!(request_slots(&mut controller, 90, 9, "b"), elements_are![eq(&1)]);
    // The machine of slot 2 lost its disk and requests its own slot.
    expect_that!(request_slots(&mut controller, 90, 2, "c"), elements_are![eq(&2)]);
    expect_that!(request_slots(&mut controller, 90, 0, "a"), is_empty());
    // After a pause of this controller, the silence of the others during it does not count.
    let mut controller = controller_in(0);
    run_for(&mut controller, SECOND);
    controller.now += 20 * SECOND;
    run_for(&mut controller, SECOND);
    expect_that!(request_slots(&mut controller, 90, 9, "b"), is_empty());
    // A takeover fails if the slot is not offered or the generation is wrong; a generation of
    // a handover is reserved for the holder.
    let next = after_takeover(1);
    take_over(&mut controller, 1, next, 90, "b");
    expect_that!(controller.core.voter_slots.voter_file.voter_set.slots[1].generation, eq(1));
    run_for(&mut controller, 3 * SECOND);
    for wrong in [2, 3, next - 1, next + 1, after_takeover(next)] {
        take_over(&mut controller, 1, wrong, 90, "b");
        expect_that!(
            controller.core.voter_slots.voter_file.voter_set.slots[1].generation,
            eq(1),
            "{wrong}"
        );
    }
    take_over(&mut controller, 1, next, 90, "b");
    expect_that!(controller.core.voter_slots.voter_file.voter_set.slots[1].replica_id, eq(90));
    // One generation has one holder.
    take_over(&mut controller, 1, next, 91, "b");
    expect_that!(controller.core.voter_slots.voter_file.voter_set.slots[1].replica_id, eq(90));
}

#[googletest::test]
fn a_takeover_wins_over_every_handover_that_it_does_not_know() {
    let mut generation = 1;
    for _ in 0..5_000 {
        expect_that!(after_takeover(1), gt(generation));
        let Some(next) = after_handover(generation) else { break };
        expect_that!(next, gt(generation));
        generation = next;
    }
    // The last generation before that of the next takeover has no successor by handover.
    expect_that!(after_handover(generation), none());
    expect_that!(after_takeover(generation), eq(after_takeover(1)));
    // A vacant slot (generation 0) and a slot from an earlier build continue alike.
    expect_that!((after_takeover(0), after_handover(0)), eq((after_takeover(1), Some(2))));
}

/// Makes the controller the leader of the configuration's partition with the vote of slot 2.
fn become_leader(controller: &mut TestController) -> Term {
    let partition = CONFIG;
    let pre_vote_term = |c: Command| match c {
        Command::ToVoter {
            slot: 2,
            message: Message::PreVoteRequest { partition: CONFIG, term },
        } => Some(term),
        _ => None,
    };
    let term = (0..100)
        .find_map(|_| run_for(controller, WAKE_INTERVAL).into_iter().find_map(pre_vote_term))
        .unwrap();
    let granted = from_voter(
        controller,
        2,
        Message::PreVoteResponse { partition, term, granted: true, current_term: Term::ZERO },
    );
    deliver(controller, granted);
    let stamp = controller.core.voter_slots.stamp;
    let vote = from_voter(
        controller,
        2,
        Message::VoteGranted { partition, term, written_term: Term::ZERO, revision: 0, stamp },
    );
    deliver(controller, vote);
    term
}

fn is_serving_leader(controller: &TestController) -> bool {
    matches!(&controller.core.partitions[0].role, Role::Leader(leader) if leader.is_serving)
}

#[googletest::test]
fn an_acknowledgement_under_another_voter_set_does_not_count() {
    let mut controller = controller_in(0);
    let term = become_leader(&mut controller);
    let partition = CONFIG;
    expect_that!(is_serving_leader(&controller), eq(false));
    let append_ack = |stamp| Message::AppendAck { partition, term, revision: 0, stamp };
    let other = from_voter(&controller, 2, append_ack(controller.core.voter_slots.stamp ^ 1));
    let out = deliver(&mut controller, other);
    expect_that!(is_serving_leader(&controller), eq(false));
    // The sender gets this controller's voter set in response.
    let is_voter_set_update = |c: &Command| {
        matches!(
            c,
            Command::ToConnection { connection: 2, message: Message::VoterSetUpdate { .. } }
        )
    };
    expect_that!(out.iter().any(is_voter_set_update), eq(true));
    let from_unknown = Event::FromVoter {
        slot: 2,
        replica_id: 5,
        connection: 2,
        message: append_ack(controller.core.voter_slots.stamp),
    };
    deliver(&mut controller, from_unknown);
    expect_that!(is_serving_leader(&controller), eq(false));
    let good = from_voter(&controller, 2, append_ack(controller.core.voter_slots.stamp));
    deliver(&mut controller, good);
    expect_that!(is_serving_leader(&controller), eq(true));
}

#[googletest::test]
fn a_leader_discards_a_voters_acknowledgements_when_its_slot_changes_holder() {
    let mut controller = controller_in(0);
    let term = become_leader(&mut controller);
    let partition = CONFIG;
    let good = from_voter(
        &controller,
        2,
        Message::AppendAck {
            partition,
            term,
            revision: 0,
            stamp: controller.core.voter_slots.stamp,
        },
    );
    deliver(&mut controller, good);
    expect_that!(is_serving_leader(&controller), eq(true));
    let old = controller.core.voter_slots.stamp;
    // Slot 1 reports that slot 2 has a new holder.
    let table = with_holder(&controller.core.voter_slots.voter_file.voter_set, 2, 2, 90);
    let update =
        from_voter(&controller, 1, Message::VoterSetUpdate { replica_id: 1, voter_set: table });
    deliver(&mut controller, update);
    let Role::Leader(leader) = &controller.core.partitions[0].role else {
        panic!("not the leader")
    };
    let no_round = AckedRound { number: 0, began_at: 0 };
    expect_that!((leader.synced[1], leader.synced[2], leader.acked[2]), eq((None, None, no_round)));
    expect_that!(controller.core.voter_slots.stamp, not(eq(old)));
    // A late acknowledgement from the old holder is ignored.
    let late = Event::FromVoter {
        slot: 2,
        replica_id: initial_replica_id(&addr(2)),
        connection: 2,
        message: Message::AppendAck {
            partition,
            term,
            revision: 0,
            stamp: controller.core.voter_slots.stamp,
        },
    };
    deliver(&mut controller, late);
    let Role::Leader(leader) = &controller.core.partitions[0].role else {
        panic!("not the leader")
    };
    expect_that!(leader.synced[2], none());
}

#[googletest::test]
fn a_voter_set_is_sent_and_applied_only_after_it_is_on_disk() {
    let mut controller = controller_in(0);
    let table = with_holder(&controller.core.voter_slots.voter_file.voter_set, 0, 2, 90);
    let update =
        from_voter(&controller, 1, Message::VoterSetUpdate { replica_id: 1, voter_set: table });
    let commands = controller.core.step(controller.now, update);
    let is_voter_set_update = |c: &Command| {
        matches!(c, Command::ToVoter { message: Message::VoterSetUpdate { .. }, .. })
            || matches!(c, Command::ToConnection { message: Message::VoterSetUpdate { .. }, .. })
    };
    expect_that!(commands.iter().any(is_voter_set_update), eq(false));
    expect_that!(controller.core.slot, eq(0));
    let token = commands.iter().find_map(|c| match c {
        Command::WriteVoterFile { token, .. } => Some(*token),
        _ => None,
    });
    // Its own slot has a new holder: the controller clears all replicas and takes a new id.
    let commands =
        controller.core.step(controller.now, Event::VoterFileWritten { token: token.unwrap() });
    expect_that!(controller.core.slot, eq(NO_SLOT));
    expect_that!(
        controller.core.partitions.iter().all(|p| p.condition == ReplicaCondition::Empty),
        eq(true)
    );
    let clears_files = |c: &Command| matches!(c, Command::WriteVoterFile { clear: true, voter_file: roll, .. } if !roll.is_original_disk);
    expect_that!(commands.iter().any(clears_files), eq(true));
}
