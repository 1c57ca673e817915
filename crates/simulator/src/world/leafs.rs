//! Dispatches on their way to leafs and back.

use super::*;

pub(super) fn dispatch(
    w: &mut World,
    (q, life, t): (usize, u64, usize),
    mut sending: OutgoingAttempt,
) {
    let now = w.now - BEGIN;
    rules::tries(&mut w.rules, now, &sending.id, &sending.service);
    let who = w.queriers[q].name.clone();
    if let Some(l) = w.backs.leafs.get(&sending.leaf) {
        let (zone, known) = (l.zone.clone(), l.known_leaving.map(|k| k - BEGIN));
        rules::sends(&mut w.rules, now, &who, &sending.leaf, &zone, known);
    }
    if w.broken == Some(Broken::ChangeQuestion) {
        let mut val: Value = serde_json::from_slice(&sending.body).unwrap_or(Value::Null);
        val["question"] = json!("something else");
        let body = val.to_string().into_bytes();
        sending.body_digest = digest(&body);
        sending.body = std::sync::Arc::new(body);
    }
    // Whatever becomes of it, the sender gives up at the end of its budget.
    let event = event::Event::AttemptEnded {
        attempt: sending.attempt,
        result: Err(AttemptFailure::DeadlineExceeded),
    };
    push(w, sending.timeout, ScheduledEvent::ToDesk { q, life, t, event });
    // Giving up closes the connection, which the leaf sees a moment later.
    let key = (q, life, t, sending.attempt);
    push(w, sending.timeout + ms(1), ScheduledEvent::LeafDrop { key });
    let zone = w.queriers[q].zone.clone();
    let leaf_zone = w.backs.leafs.get(&sending.leaf).map_or("a".into(), |l| l.zone.clone());
    let after = latency(&zone, &leaf_zone, &mut w.luck) + w.net.slow;
    push(w, after, ScheduledEvent::LeafGets { q, life, t, sending: Box::new(sending) });
}

pub(super) fn answer(
    w: &mut World,
    key: RunKey,
    zone: &str,
    mut got: Result<LeafReply, AttemptFailure>,
) {
    let (q, life, t, dispatch) = key;
    if let Ok(raw) = &mut got
        && !w.backs.ages
    {
        raw.headers.age = None;
    }
    let qzone = w.queriers[q].zone.clone();
    let after = latency(&qzone, zone, &mut w.luck) + w.net.slow;
    push(
        w,
        after,
        ScheduledEvent::ToDesk {
            q,
            life,
            t,
            event: event::Event::AttemptEnded { attempt: dispatch, result: got },
        },
    );
}

pub(super) fn leaf_gets(w: &mut World, (q, life, t): (usize, u64, usize), s: OutgoingAttempt) {
    let now = w.now;
    let key = (q, life, t, s.attempt);
    let name = w.backs.at.get(&s.addr).cloned().unwrap_or_default();
    let Some(l) = w.backs.leafs.get_mut(&name) else { return };
    let zone = l.zone.clone();
    match l.alive {
        Alive::Vanished => return,
        Alive::Down => return answer(w, key, &zone, Err(AttemptFailure::Unreachable)),
        Alive::Up => {}
    }
    // A connection ends with the process behind it, and on a new one the leaf is
    // asked who it is before any work is sent.
    let misdirected = s.leaf != l.name || s.service != l.service.name;
    let connection = (q, life, t, s.addr.clone());
    let known = w.connections.get(&connection) == Some(&name);
    if !known && w.broken != Some(Broken::NoGreeting) {
        if misdirected {
            let raw = mock_backends::turned_away(l, now, MISDIRECTED);
            return answer(w, key, &zone, Ok(raw));
        }
        w.connections.insert(connection, name);
        let after = 2 * latency(&w.queriers[q].zone.clone(), &zone, &mut w.luck);
        return push(w, after, ScheduledEvent::LeafGets { q, life, t, sending: Box::new(s) });
    }
    let who = &w.queriers[q].name;
    rules::arrives(&mut w.rules, now - BEGIN, who, &name, &l.service.name, &s.service);
    if misdirected {
        let raw = mock_backends::turned_away(l, now, MISDIRECTED);
        return answer(w, key, &zone, Ok(raw));
    }
    if digest(&s.body) != s.body_digest {
        let raw = mock_backends::turned_away(l, now, 400);
        return answer(w, key, &zone, Ok(raw));
    }
    l.live += 1;
    let bear = mock_backends::bears(l, now);
    l.worst_pct = l.worst_pct.max(l.live * 100 / bear);
    l.over += u64::from(l.live > bear);
    let (live, fresh) = (l.live, mock_backends::fresh(l, now));
    if fresh {
        rules::carries(&mut w.rules, now - BEGIN, &name, live, bear);
    }
    if l.mode == mock_backends::Mode::Unrun || live > bear * 3 {
        l.live -= 1;
        let raw = mock_backends::turned_away(l, now, 503);
        if l.leaving {
            learn(w, &name);
        }
        return answer(w, key, &zone, Ok(raw));
    }
    l.ran += 1;
    let took = mock_backends::takes(l, now, &mut w.luck);
    let asked: Value = serde_json::from_slice(&s.body).unwrap_or(Value::Null);
    let question = asked["question"].as_str().unwrap_or_default();
    rules::runs(&mut w.rules, now - BEGIN, &name, question);
    w.next += 1;
    let run = w.next;
    w.by_key.insert(key, run);
    w.runs.insert(run, Run { key, leaf: name, sending: s });
    push(w, took, ScheduledEvent::LeafDone { run });
}

pub(super) fn end_run(w: &mut World, run: u64) -> Option<Run> {
    let r = w.runs.remove(&run)?;
    w.by_key.remove(&r.key);
    if let Some(l) = w.backs.leafs.get_mut(&r.leaf) {
        l.live = l.live.saturating_sub(1);
    }
    Some(r)
}

pub(super) fn leaf_done(w: &mut World, run: u64) {
    let Some(r) = end_run(w, run) else { return };
    let now = w.now;
    let Some(l) = w.backs.leafs.get_mut(&r.leaf) else { return };
    let zone = l.zone.clone();
    if l.alive != Alive::Up {
        return;
    }
    let mut raw = mock_backends::reply(l, now, &r.sending);
    let asked: Value = serde_json::from_slice(&r.sending.body).unwrap_or(Value::Null);
    if mock_backends::true_reply(l.mode, asked["limit"].as_u64().unwrap_or(0)) {
        let question = asked["question"].as_str().unwrap_or_default();
        rules::answers(&mut w.rules, &l.service.name, &r.sending.id, question);
    }
    if l.leaving {
        learn(w, &r.leaf);
        if w.broken == Some(Broken::IgnoreLeaving) {
            raw.headers = ReplyHeaders { state: None, ..raw.headers };
        }
    }
    answer(w, r.key, &zone, Ok(raw));
}

/// A leaf's process ends: its work is lost, and callers hear of it.
pub fn kill_leaf(w: &mut World, name: &str, how: Alive) {
    let Some(l) = w.backs.leafs.get_mut(name) else { return };
    l.alive = how;
    let zone = l.zone.clone();
    let runs: Vec<u64> = w.runs.iter().filter(|(_, r)| r.leaf == name).map(|(id, _)| *id).collect();
    for run in runs {
        if let Some(r) = end_run(w, run)
            && how == Alive::Down
        {
            answer(w, r.key, &zone, Err(AttemptFailure::Truncated));
        }
    }
}
