//! Callers: what they ask, and what they are told.

use super::*;

pub(super) fn tally(w: &mut World, kind: usize) -> &mut Tally {
    let name = w.kinds[kind].search.clone();
    w.tally.entry(name).or_default()
}

pub(super) fn call(w: &mut World, kind: usize) {
    if w.now >= w.calls_end {
        return;
    }
    let gap = gap(w, kind);
    push(w, gap, ScheduledEvent::Call { kind });
    w.next += 1;
    let id = w.next;
    let k = &w.kinds[kind];
    let question = format!("{}-{id}", k.search);
    let asked = Asked { question, key: k.lookup.then(|| format!("key-{id}")) };
    let up = |q: &usize| w.queriers[*q].up;
    let list: Vec<usize> = match w.any_querier {
        true => (0..w.queriers.len()).filter(up).collect(),
        false => w.platform.clone(),
    };
    if list.is_empty() {
        let name = w.kinds[kind].search.clone();
        rules::ends(&mut w.rules, w.now - BEGIN, w.now - BEGIN, &name, false);
        tally(w, kind).unreachable += 1;
        return;
    }
    let q = list[below(&mut w.luck, list.len() as u64) as usize];
    if !w.queriers[q].up {
        tally(w, kind).unreachable += 1;
        return;
    }
    w.rules.asked.insert(asked.question.clone());
    let life = w.queriers[q].life;
    let wait = ms(w.kinds[kind].budget_ms);
    w.calls.insert(id, Call { kind, asked, q, life, began: w.now });
    push(w, ms(1), ScheduledEvent::Arrive { call: id });
    push(w, wait + ms(5), ScheduledEvent::CallDue { call: id });
}

pub(super) fn arrive(w: &mut World, id: u64) {
    let Some(c) = w.calls.get_mut(&id) else { return };
    c.began = w.now;
    let (q, life, kind, asked) = (c.q, c.life, c.kind, c.asked.clone());
    if !live(w, q, life) {
        return;
    }
    let k = &w.kinds[kind];
    let mut body = json!({ "question": asked.question, "limit": k.limit });
    if let Some(key) = &asked.key {
        body["key"] = json!(key);
    }
    let budget = k.budget_ms.to_string();
    let read = caller::read_post(&k.search, Some(&budget), body.to_string().as_bytes());
    let Ok(ask) = read else { return };
    let t = (id % u64::from(THREADS)) as usize;
    push(
        w,
        10,
        ScheduledEvent::ToDesk {
            q,
            life,
            t,
            event: event::Event::Search { call: id, request: ask },
        },
    );
}

pub(super) fn tampered(w: &mut World, kind: usize, outcome: Outcome) -> Outcome {
    let Outcome::Answered(mut full) = outcome else {
        if w.broken == Some(Broken::BelowQuorum)
            && let Outcome::Rejected(b) = &outcome
            && b.query.is_some()
        {
            let cut = w.kinds[kind].shards[0].0.clone();
            let planned = w.kinds[kind].shards.iter().filter(|s| s.0 == cut).count();
            return Outcome::Answered(grebepath_core::query::request::SearchAnswer {
                query: b.query.clone().unwrap_or_default(),
                route: w.kinds[kind].search.clone(),
                index_version: cut,
                revision: u64::MAX,
                shards: Vec::new(),
                missing: planned,
                records: Vec::new(),
            });
        }
        return outcome;
    };
    match w.broken {
        Some(Broken::ClaimAll) if full.missing > 0 => {
            let all = w.kinds[kind].shards.iter().filter(|s| s.0 == full.index_version);
            full.shards = all.map(|s| s.1.clone()).collect();
            full.missing = 0;
        }
        Some(Broken::ClaimTwice) => full.shards.push(full.shards[0].clone()),
        Some(Broken::MixCut) => full.index_version = "w47".into(),
        Some(Broken::Disorder) if full.records.len() > 1 => full.records.swap(0, 1),
        _ => {}
    }
    Outcome::Answered(full)
}

pub(super) fn outcome_told(w: &mut World, id: u64, outcome: Outcome) {
    let Some(c) = w.calls.remove(&id) else { return };
    let now = w.now - BEGIN;
    let outcome = tampered(w, c.kind, outcome);
    let written = caller::write(&outcome);
    let kind = w.kinds[c.kind].clone();
    let full = matches!(&outcome, Outcome::Answered(f) if f.missing == 0);
    rules::ends(&mut w.rules, c.began - BEGIN, now, &kind.search, full);
    match outcome {
        Outcome::Forwarded(_) | Outcome::Merged(_) => {}
        Outcome::Rejected(b) => {
            *tally(w, c.kind).bounced.entry(b.reason.to_string()).or_default() += 1;
        }
        Outcome::Answered(full) => {
            let took = w.now - c.began;
            let t = tally(w, c.kind);
            if full.missing == 0 {
                t.full += 1
            } else {
                t.partial += 1
            }
            t.waits.push(took);
            let missing = written.missing_shards.map(|n| n.to_string());
            let (bad, services) = success(&kind, &c.asked, missing.as_deref(), &written.body);
            for text in bad {
                rules::broken(
                    &mut w.rules,
                    now,
                    rules::rule_of(&text),
                    format!("{}: {text}", full.query),
                );
            }
            rules::claims(&mut w.rules, now, &full.query, &services, &c.asked.question);
            let who = w.queriers[c.q].name.clone();
            rules::obeys(&mut w.rules, now, c.began - BEGIN, full.revision, &who);
        }
    }
}
