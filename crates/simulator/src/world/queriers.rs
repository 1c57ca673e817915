//! Queriers' machines: starts, deaths, and what their watch and desks want done.

use super::*;

/// Starts a querier, which knows nothing.
pub fn start_querier(w: &mut World, q: usize) {
    let seed = draw(&mut w.luck);
    let n = &mut w.queriers[q];
    n.life += 1;
    n.up = true;
    n.ready = false;
    n.paused = 0;
    n.polling = false;
    n.began = w.now;
    n.watch = wat::watch(member(&n.name, &n.zone, q, n.life), BOOT);
    n.desks = (0..THREADS)
        .map(|t| {
            let name = format!("{}-{t}-{:x}", n.name, n.life);
            let mut desk = QueryEngine::new(&name, &n.zone, seed ^ u64::from(t), BOOT);
            desk.thread_id = grebepath_core::query::quota::slot(&n.name, t);
            desk
        })
        .collect();
    n.wakes = vec![0; THREADS as usize];
    let life = n.life;
    push(w, below_ms(seed, 50), ScheduledEvent::QWake { q, life });
}

/// Ends a querier at once.
pub fn kill_querier(w: &mut World, q: usize) {
    let life = w.queriers[q].life;
    w.queriers[q].up = false;
    w.queriers[q].ready = false;
    w.queriers[q].life += 1;
    let connection = ((q as u64) << 32) | life;
    for s in 0..w.seats.len() {
        let life = w.seats[s].life;
        push(
            w,
            ms(2),
            ScheduledEvent::ToSeat { s, life, event: CoreEvent::ConnectionClosed { connection } },
        );
    }
    let gone: Vec<u64> =
        w.calls.iter().filter(|(_, c)| c.q == q && c.life == life).map(|(id, _)| *id).collect();
    for id in gone {
        if let Some(c) = w.calls.remove(&id) {
            tally(w, c.kind).unreachable += 1;
        }
    }
    let runs: Vec<RunKey> = w.by_key.keys().filter(|k| k.0 == q && k.1 == life).copied().collect();
    for key in runs {
        push(w, ms(1), ScheduledEvent::LeafDrop { key });
    }
}

pub(super) fn step_watch(w: &mut World, q: usize, event: wat::Event) {
    let local = w.now - w.queriers[q].began + BOOT;
    let todo = qstep::step(&mut w.queriers[q].watch, local, event);
    if w.broken == Some(Broken::SlipBack) && w.queriers[q].watch.built_revision > 0 {
        w.queriers[q].watch.sure = true;
    }
    for command in todo {
        watch_does(w, q, command);
    }
    let held = &w.queriers[q].watch.held;
    let places: Vec<(u32, u64)> = held.iter().map(|(p, h)| (p.0, h.revision)).collect();
    for (part, revision) in places {
        if revision > 0 && !seen(w, q, part, revision) {
            let sum = grebepath_core::replication::leader::sum(
                &w.queriers[q].watch.held[&PartitionId(part)].map,
            );
            rules::same(&mut w.rules, w.now - BEGIN, part, revision, sum);
        }
    }
}

/// Whether this querier's holding of a revision was compared already.
pub(super) fn seen(w: &mut World, q: usize, part: u32, revision: u64) -> bool {
    let key = (1_000 + part + 100 * q as u32, 0);
    w.rules.truth.insert(key, revision) == Some(revision)
}

pub(super) fn watch_does(w: &mut World, q: usize, command: wat::Command) {
    let life = w.queriers[q].life;
    let zone = w.queriers[q].zone.clone();
    match command {
        wat::Command::ToSeat { slot: seat, message } => {
            let Some(h) = w.queriers[q].watch.table.slots.get(usize::from(seat)) else { return };
            let Some(s) = machine(w, &h.addr) else { return };
            to_controller(w, q, s, message);
        }
        wat::Command::ToAll { message } => {
            for s in w.core.seeds.clone() {
                to_controller(w, q, s, message.clone());
            }
        }
        wat::Command::Seats => {}
        wat::Command::ToMember { message: Message::LeafReports { .. }, .. }
            if w.broken == Some(Broken::NoWords) => {}
        wat::Command::ToMember { name, message, .. } => {
            weigh(&mut w.net, "querier-querier", &message);
            let Some(to) = w.queriers.iter().position(|n| n.name == name) else { return };
            let tozone = w.queriers[to].zone.clone();
            let from = (Node::Querier(q), zone.as_str());
            let at = send(&mut w.net, w.now, from, (Node::Querier(to), &tozone), &mut w.luck);
            if let Some(at) = at {
                let event = wat::Event::FromMember { name: w.queriers[q].name.clone(), message };
                let life = w.queriers[to].life;
                push_at(w, at, ScheduledEvent::ToWatch { q: to, life, event });
            }
        }
        wat::Command::ClusterView(view) => {
            rules::views(&mut w.rules, w.now - BEGIN, q, view.revision);
            if w.broken == Some(Broken::StaleView) && q == 0 && view.revision > 1 {
                return;
            }
            let mut view = view;
            if w.broken == Some(Broken::IgnoreDrain) || w.broken == Some(Broken::IgnoreLeaving) {
                let mut own = (*view).clone();
                if w.broken == Some(Broken::IgnoreDrain) {
                    let mut built = (*own.built).clone();
                    built.drained.clear();
                    own.built = std::sync::Arc::new(built);
                } else {
                    deafen(&mut own);
                }
                view = std::sync::Arc::new(own);
            }
            for t in 0..THREADS as usize {
                let event = event::Event::ClusterView(view.clone());
                push(w, 20, ScheduledEvent::ToDesk { q, life, t, event });
            }
        }
        wat::Command::Shares(list) => {
            for t in 0..THREADS {
                let name = w.queriers[q].name.clone();
                let mut share = grebepath_core::query::quota::QuotaShare::new(&list, &name, t);
                if w.broken == Some(Broken::NoShare) && !share.threads.is_empty() {
                    share.threads = vec![share.own_thread];
                }
                let event = event::Event::QuotaShare(share);
                push(w, 20, ScheduledEvent::ToDesk { q, life, t: t as usize, event });
            }
        }
        wat::Command::Peers(list) => {
            let peers = grebepath_core::query::quota::peers(&list);
            for t in 0..THREADS as usize {
                push(
                    w,
                    20,
                    ScheduledEvent::ToDesk {
                        q,
                        life,
                        t,
                        event: event::Event::Peers(peers.clone()),
                    },
                );
            }
        }
        wat::Command::Door(door) => {
            for t in 0..THREADS as usize {
                push(
                    w,
                    20,
                    ScheduledEvent::ToDesk { q, life, t, event: event::Event::ServingState(door) },
                );
            }
            if door == ServingState::ShuttingDown {
                later(w, ms(20), DueKey::EndQuerier(q, life));
            }
        }
        wat::Command::Grip(until) => {
            for t in 0..THREADS as usize {
                push(
                    w,
                    20,
                    ScheduledEvent::ToDesk {
                        q,
                        life,
                        t,
                        event: event::Event::LeaseValidUntil(until),
                    },
                );
            }
        }
        wat::Command::Ready(ready) => w.queriers[q].ready = ready,
        wat::Command::PollList => {
            if !w.queriers[q].polling {
                w.queriers[q].polling = true;
                let from = (Node::Querier(q), zone.as_str());
                match send(&mut w.net, w.now, from, (Node::List, "a"), &mut w.luck) {
                    Some(at) => push_at(w, at, ScheduledEvent::ListAsked { q, life }),
                    None => list_late(w, q, life),
                }
            }
        }
        wat::Command::Probe(list) => {
            for info in list {
                let after = below(&mut w.luck, ms(50)) + ms(1);
                push(w, after, ScheduledEvent::Probe { q, life, info });
            }
        }
        wat::Command::Alarm(text) => {
            let name = w.queriers[q].name.clone();
            rules::tell(&mut w.rules, w.now - BEGIN, || format!("{name}: {text}"));
            *w.alarms.entry(text).or_default() += 1;
        }
    }
}

/// Hides that leafs leave.
pub(super) fn deafen(view: &mut grebepath_core::snapshot::cluster_view::ClusterView) {
    let hide = |l: &std::sync::Arc<LeafInfo>| {
        let mut own = (**l).clone();
        own.leaving = false;
        std::sync::Arc::new(own)
    };
    for l in view.leafs.values_mut() {
        *l = hide(l);
    }
    for list in view.services.values_mut() {
        for l in list {
            *l = hide(l);
        }
    }
}

pub(super) fn list_late(w: &mut World, q: usize, life: u64) {
    let event = wat::Event::List(Err("no answer in time".into()));
    push(w, consts::LIST_PATIENCE, ScheduledEvent::ToWatch { q, life, event });
}

pub(super) fn list_asked(w: &mut World, q: usize, life: u64) {
    let now = w.now;
    let Some(text) = mock_backends::list(&mut w.backs, now) else { return list_late(w, q, life) };
    let got = match list::read(text.as_bytes()) {
        Ok((list, _)) => {
            for l in list.iter().filter(|l| l.leaving) {
                learn(w, &l.leaf.clone());
            }
            Ok(list)
        }
        Err(f) => Err(f.to_string()),
    };
    let pair = (Node::List, Node::Querier(q));
    let zone = w.queriers[q].zone.clone();
    match send(&mut w.net, now, (pair.0, "a"), (pair.1, &zone), &mut w.luck) {
        Some(at) => {
            push_at(w, at, ScheduledEvent::ToWatch { q, life, event: wat::Event::List(got) })
        }
        None => list_late(w, q, life),
    }
}

/// One of our nodes is being told that a leaf leaves.
pub(super) fn learn(w: &mut World, leaf: &str) {
    let now = w.now;
    if let Some(l) = w.backs.leafs.get_mut(leaf)
        && l.known_leaving.is_none()
    {
        l.known_leaving = Some(now + ms(2));
    }
}

pub(super) fn probed(w: &mut World, q: usize, life: u64, info: &LeafInfo) {
    if !live(w, q, life) {
        return;
    }
    let Some(l) = w.backs.at.get(&info.addr).and_then(|n| w.backs.leafs.get(n)) else { return };
    if l.alive != Alive::Up || l.mode == mock_backends::Mode::Dark {
        return;
    }
    let mut word = LeafReport { leaf: info.leaf.clone(), ..LeafReport::default() };
    if l.name == info.leaf {
        word.leaving = l.leaving && w.broken != Some(Broken::IgnoreLeaving);
        if w.backs.ages {
            word.age_ms = grebepath_core::time::since(l.born, w.now) / MILLI;
        }
        if l.leaving {
            learn(w, &info.leaf.clone());
        }
    } else {
        word.gone = true;
    }
    let event = wat::Event::Word { service: info.service.clone(), word };
    push(w, ms(1), ScheduledEvent::ToWatch { q, life, event });
}

pub(super) fn step_desk(w: &mut World, q: usize, t: usize, event: event::Event) {
    let local = w.now - w.queriers[q].began + BOOT;
    let deaf = w.broken == Some(Broken::IgnoreLeaving);
    let n = &mut w.queriers[q];
    if w.broken == Some(Broken::NoRule) {
        n.desks[t].retry_budget.set_slack(1_000_000);
    }
    let todo = n.desks[t].step(local, event);
    if deaf {
        for l in n.desks[t].leafs.values_mut() {
            l.draining = false;
        }
    }
    let (life, began) = (n.life, n.began);
    if let Some(at) = n.desks[t].next_due() {
        let at = (at + began).saturating_sub(BOOT).max(w.now + 1);
        let known = n.wakes[t];
        if known == 0 || at < known || known <= w.now {
            n.wakes[t] = at;
            push_at(w, at, ScheduledEvent::DeskWake { q, life, t, at });
        }
    }
    for command in todo {
        desk_does(w, q, t, command);
    }
}

pub(super) fn desk_does(w: &mut World, q: usize, t: usize, command: event::Command) {
    let life = w.queriers[q].life;
    match command {
        event::Command::Send(sending) => dispatch(w, (q, life, t), sending),
        event::Command::CancelAttempt { attempt: dispatch } => {
            let after = ms(1);
            push(w, after, ScheduledEvent::LeafDrop { key: (q, life, t, dispatch) });
        }
        event::Command::Respond { call, outcome } => outcome_told(w, call, outcome),
        event::Command::ReportLeaf { service, report: word } => {
            if w.broken != Some(Broken::IgnoreLeaving) {
                push(
                    w,
                    20,
                    ScheduledEvent::ToWatch { q, life, event: wat::Event::Word { service, word } },
                );
            }
        }
    }
}

/// Puts a wish to stop to a querier; it is down a moment after it drained.
pub fn stop_querier(w: &mut World, q: usize) {
    let life = w.queriers[q].life;
    push(w, 1, ScheduledEvent::ToWatch { q, life, event: wat::Event::Stop });
}

fn to_controller(w: &mut World, q: usize, s: usize, message: Message) {
    weigh(&mut w.net, "querier-seat", &message);
    let zones = (w.queriers[q].zone.clone(), w.seats[s].zone.clone());
    let ends = (Node::Querier(q), Node::Controller(s as u8));
    let at = send(&mut w.net, w.now, (ends.0, &zones.0), (ends.1, &zones.1), &mut w.luck);
    if let Some(at) = at {
        let connection = ((q as u64) << 32) | w.queriers[q].life;
        let life = w.seats[s].life;
        push_at(
            w,
            at,
            ScheduledEvent::ToSeat {
                s,
                life,
                event: CoreEvent::FromConnection { connection, message },
            },
        );
    }
}
