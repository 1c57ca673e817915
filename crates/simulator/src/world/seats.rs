//! Controllers' machines: starts, deaths, disks, and what their core wants done.

use super::*;

/// From the wish that a controller stops to its end by force.
const STOP_GRACE: Span = 6 * SECOND;

/// One more machine for a controller, with an empty disk; gives its number.
pub fn add_seat(w: &mut World, zone: Option<&str>) -> usize {
    let s = w.seats.len();
    let disk = simulated_disk::disk(partitions().count());
    let core = st::ControllerState::new(Default::default(), ("", ""), Vec::new(), 0, 1);
    let zone = zone.unwrap_or(ZONES[s % ZONES.len()]).to_string();
    w.seats.push(ControllerNode {
        zone,
        life: 0,
        up: false,
        core,
        began: 0,
        disk,
        paused: 0,
        stopping: None,
    });
    start_seat(w, s);
    s
}

/// Starts a controller on its disk.
pub fn start_seat(w: &mut World, s: usize) {
    let seed = draw(&mut w.luck);
    let start = Start {
        slot: w.core.told.then_some(s as VoterSlot).filter(|s| usize::from(*s) < w.core.seats),
        first: w.now == BEGIN,
        seeds: w.core.seeds.iter().map(|s| address(*s)).collect(),
        size: w.core.seats,
        addr: address(s),
    };
    let disk = &mut w.seats[s].disk;
    let bare = simulated_disk::bare(disk);
    let (roll, clear) = voter_file::begin(simulated_disk::roll(disk), &start, bare, seed);
    simulated_disk::put_roll(disk, &roll, clear);
    let found = simulated_disk::start(disk);
    let forgets = w.broken == Some(Broken::Amnesia) && bare && !start.first;
    let list = found
        .into_iter()
        .map(|(part, found)| match found {
            Found::Empty if forgets => (part, ReplicaCondition::Voting, ReplicaState::default(), 0),
            Found::Empty => (part, ReplicaCondition::Empty, ReplicaState::default(), 0),
            Found::Damaged(why) => {
                *w.alarms.entry(format!("damaged: {why}")).or_default() += 1;
                (part, ReplicaCondition::Damaged, ReplicaState::default(), 0)
            }
            Found::Good { copy, .. } => (part, ReplicaCondition::Voting, copy, 0),
        })
        .collect();
    let n = &mut w.seats[s];
    n.life += 1;
    n.up = true;
    n.began = w.now;
    n.paused = 0;
    n.stopping = None;
    n.core = st::ControllerState::new(roll, (&start.addr, &n.zone), list, seed, BOOT);
    let life = n.life;
    push(w, below_ms(seed, 50), ScheduledEvent::SeatWake { s, life });
    // It dials its seeds and all whom it knows, who tell it the table.
    for to in ways(w, s) {
        introduce(w, to, CoreEvent::ConnectionOpened { connection: wire_of(s, life) });
    }
}

/// The machines to which a controller has connections.
fn ways(w: &World, s: usize) -> Vec<usize> {
    let table = &w.seats[s].core.seating.roll.table;
    let known = table.slots.iter().filter_map(|h| machine(w, &h.addr));
    let mut list: Vec<usize> = known.chain(w.core.seeds.iter().copied()).collect();
    list.retain(|to| *to != s && *to < w.seats.len());
    list.sort_unstable();
    list.dedup();
    list
}

/// The connection that a controller's machine opens to others.
fn wire_of(s: usize, life: u64) -> u64 {
    1 << 63 | (s as u64) << 32 | life
}

fn introduce(w: &mut World, to: usize, event: CoreEvent) {
    let life = w.seats[to].life;
    push(w, ms(2), ScheduledEvent::ToSeat { s: to, life, event });
}

/// What a seat hears when seats go by tables of their own.
pub(super) fn deafened(w: &World, s: usize, mut event: CoreEvent) -> Option<CoreEvent> {
    let core = &w.seats[s].core;
    if w.broken != Some(Broken::OwnTables) || !seated(&w.seats[s]) {
        return Some(event);
    }
    match &mut event {
        CoreEvent::FromVoter { message: Message::VoterSetUpdate { .. }, .. }
        | CoreEvent::FromConnection { message: Message::VoterSetUpdate { .. }, .. }
        | CoreEvent::FromController { message: Message::VoterSetUpdate { .. } } => return None,
        CoreEvent::FromVoter { slot: seat, holder, message, .. } => {
            let table = &core.seating.roll.table;
            *holder = table.slots.get(usize::from(*seat)).map_or(0, |h| h.holder);
            if let Some(stamp) = grebepath_core::voters::voter_slots::stamped(message) {
                *stamp = core.seating.stamp;
            }
        }
        _ => {}
    }
    Some(event)
}

/// What comes on a new connection is preceded by its opening.
pub(super) fn open_wire(w: &mut World, s: usize, event: &CoreEvent) {
    let connection = match event {
        CoreEvent::FromVoter { connection, .. }
        | CoreEvent::FromConnection { connection, .. }
        | CoreEvent::ConnectionOpened { connection } => *connection,
        _ => return,
    };
    let new = w.opened.insert((s, w.seats[s].life, connection));
    if new && !matches!(event, CoreEvent::ConnectionOpened { .. }) {
        step_seat(w, s, CoreEvent::ConnectionOpened { connection });
    }
}

pub(super) fn below_ms(seed: u64, n: u64) -> Span {
    ms(1 + seed % n)
}

/// Ends a controller at once; power may be lost with it.
pub fn kill_seat(w: &mut World, s: usize, power: bool) {
    w.seats[s].up = false;
    w.seats[s].life += 1;
    if power {
        let mut luck = luck(draw(&mut w.luck));
        simulated_disk::power_loss(&mut w.seats[s].disk, &mut luck);
    } else {
        // What was handed to the system is written whether we live or not.
        for (part, token) in simulated_disk::waiting(&w.seats[s].disk) {
            simulated_disk::done(&mut w.seats[s].disk, part, token);
        }
        for token in simulated_disk::rolls(&w.seats[s].disk) {
            simulated_disk::kept(&mut w.seats[s].disk, token);
        }
    }
}

/// Asks a controller to stop, as SIGTERM does. It ends when it says so, or by
/// force when the platform's patience ends, and starts again after `restart`.
pub fn stop_seat(w: &mut World, s: usize, restart: Option<Span>) {
    if !w.seats[s].up {
        return;
    }
    w.seats[s].stopping = Some(Stopping { restart });
    if w.broken == Some(Broken::LeaveAtOnce) {
        return end_seat(w, s);
    }
    let life = w.seats[s].life;
    later(w, STOP_GRACE, DueKey::ForceStop { controller: s, life });
    step_seat(w, s, CoreEvent::Stop);
}

/// A controller that was asked to stop has ended.
pub(super) fn end_seat(w: &mut World, s: usize) {
    let Some(Stopping { restart }) = w.seats[s].stopping.take() else { return };
    kill_seat(w, s, false);
    if let Some(span) = restart {
        later(w, span, DueKey::StartSeat(s));
    }
}

pub(super) fn step_seat(w: &mut World, s: usize, event: CoreEvent) {
    let local = w.now - w.seats[s].began + BOOT;
    let todo = w.seats[s].core.step(local, event);
    for command in todo {
        seat_does(w, s, command);
    }
    if w.seats[s].stopping.is_some()
        && grebepath_core::voters::handover::may_end(&w.seats[s].core, local)
    {
        end_seat(w, s);
    }
}

pub(super) fn seat_does(w: &mut World, s: usize, command: grebepath_core::command::Command) {
    let life = w.seats[s].life;
    match command {
        grebepath_core::command::Command::ToVoter { slot: seat, message } => {
            let table = &w.seats[s].core.seating.roll.table;
            let Some(to) = table.slots.get(usize::from(seat)) else { return };
            let Some(to) = machine(w, &to.addr) else { return };
            to_machine(w, s, to, message);
        }
        grebepath_core::command::Command::Broadcast { message } => {
            for to in ways(w, s) {
                to_machine(w, s, to, message.clone());
            }
        }
        // Wires are not played; who is new tells its table when it is heard.
        grebepath_core::command::Command::VoterSetChanged => {}
        grebepath_core::command::Command::WriteVoterFile { token, roll, clear } => {
            let at =
                simulated_disk::keep(&mut w.seats[s].disk, w.now, token, roll, clear, &mut w.luck);
            if let Some(at) = at {
                push_at(w, at, ScheduledEvent::Kept { s, life, token });
            }
        }
        grebepath_core::command::Command::ToConnection { connection, message }
            if connection >> 63 == 1 =>
        {
            weigh(&mut w.net, "seat-seat", &message);
            let (to, tolife) = ((connection << 1 >> 33) as usize, connection & 0xffff_ffff);
            let ends = (Node::Controller(s as u8), Node::Controller(to as u8));
            let zones = (w.seats[s].zone.clone(), w.seats[to].zone.clone());
            let at = send(&mut w.net, w.now, (ends.0, &zones.0), (ends.1, &zones.1), &mut w.luck);
            if let Some(at) = at {
                let event = CoreEvent::FromController { message };
                push_at(w, at, ScheduledEvent::ToSeat { s: to, life: tolife, event });
            }
        }
        grebepath_core::command::Command::ToConnection { connection, message } => {
            weigh(&mut w.net, "seat-querier", &message);
            let (q, qlife) = ((connection >> 32) as usize, connection & 0xffff_ffff);
            let to = (Node::Querier(q), w.queriers[q].zone.clone());
            let zone = w.seats[s].zone.clone();
            let from = (Node::Controller(s as u8), zone.as_str());
            let at = send(&mut w.net, w.now, from, (to.0, &to.1), &mut w.luck);
            if let Some(at) = at {
                let holder = w.seats[s].core.seating.roll.me;
                push_at(w, at, ScheduledEvent::FromSeat { q, life: qlife, holder, message });
            }
        }
        grebepath_core::command::Command::AppendRecord { partition: part, token, rec } => {
            disk_job(w, s, part, token, Job::Append(rec))
        }
        grebepath_core::command::Command::WriteSnapshot { partition: part, token, copy } => {
            disk_job(w, s, part, token, Job::Slot(copy))
        }
        grebepath_core::command::Command::Scrub { partition: part } => {
            if w.seats[s].disk.health != Health::Stalled && w.broken != Some(Broken::NoLook) {
                let trouble = simulated_disk::look(&w.seats[s].disk, part);
                push(
                    w,
                    ms(3),
                    ScheduledEvent::ToSeat {
                        s,
                        life,
                        event: CoreEvent::Scrubbed { partition: part, trouble },
                    },
                );
            }
        }
        grebepath_core::command::Command::Respond { op, done } => told(w, op as usize, done),
        grebepath_core::command::Command::OwnResponse { .. } => {}
        grebepath_core::command::Command::WakeAfter { span } => {
            push(w, span, ScheduledEvent::ToSeat { s, life, event: CoreEvent::Wake });
        }
        grebepath_core::command::Command::Alarm(text) => {
            rules::tell(&mut w.rules, w.now - BEGIN, || format!("seat {s} (life {life}): {text}"));
            *w.alarms.entry(text).or_default() += 1;
        }
    }
}

/// A controller sends to another's machine, as who it is just now.
fn to_machine(w: &mut World, s: usize, to: usize, message: Message) {
    weigh(&mut w.net, "seat-seat", &message);
    let ends = (Node::Controller(s as u8), Node::Controller(to as u8));
    let zones = (w.seats[s].zone.clone(), w.seats[to].zone.clone());
    let at = send(&mut w.net, w.now, (ends.0, &zones.0), (ends.1, &zones.1), &mut w.luck);
    let Some(at) = at else { return };
    let n = &w.seats[s];
    let connection = wire_of(s, n.life);
    let event = if seated(n) {
        CoreEvent::FromVoter {
            slot: n.core.slot,
            holder: n.core.seating.roll.me,
            connection,
            message,
        }
    } else {
        CoreEvent::FromConnection { connection, message }
    };
    let life = w.seats[to].life;
    push_at(w, at, ScheduledEvent::ToSeat { s: to, life, event });
}

pub(super) fn disk_job(w: &mut World, s: usize, part: PartitionId, token: u64, job: Job) {
    let life = w.seats[s].life;
    let at = simulated_disk::begin(&mut w.seats[s].disk, w.now, part, token, job, &mut w.luck);
    if let Some(at) = at {
        push_at(w, at, ScheduledEvent::Disk { s, life, part, token });
    }
    if w.broken == Some(Broken::EarlyYes) {
        push(
            w,
            10,
            ScheduledEvent::ToSeat { s, life, event: CoreEvent::Synced { partition: part, token } },
        );
    }
}

/// Changes the health of a disk; a stall that ends lets the line go on.
pub fn disk_health(w: &mut World, s: usize, health: Health) {
    let was = std::mem::replace(&mut w.seats[s].disk.health, health);
    if was == Health::Stalled && health != Health::Stalled {
        let life = w.seats[s].life;
        for (i, (part, token)) in simulated_disk::waiting(&w.seats[s].disk).into_iter().enumerate()
        {
            push(w, ms(2 + i as u64), ScheduledEvent::Disk { s, life, part, token });
        }
        for token in simulated_disk::rolls(&w.seats[s].disk) {
            push(w, ms(2), ScheduledEvent::Kept { s, life, token });
        }
    }
}
