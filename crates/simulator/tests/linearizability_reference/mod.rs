//! A reference register, generators of histories (from the register and at random), and a
//! brute-force checker.

use std::collections::BTreeMap;

use grebepath_simulator::linearizability::{
    Answer, Attempt, Base, Effect, History, Read, Register, Write,
};

/// Draws a number below `top`.
fn draw(seed: &mut u64, top: u64) -> u64 {
    *seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    (*seed >> 33) % top
}

fn apply(register: &mut Register, effect: &Effect) {
    register.revision += 1;
    register.edition = effect.edition.unwrap_or(register.edition);
    if effect.replaces {
        let stays = |name: &str| effect.keeps.as_ref().is_some_and(|k| name.starts_with(k));
        register.objects.retain(|name, _| stays(name));
    }
    for (name, value) in &effect.puts {
        match value {
            Some(value) => register.objects.insert(name.clone(), value.clone()),
            None => register.objects.remove(name),
        };
    }
}

fn is_current(register: &Register, base: Base) -> bool {
    base.revision.is_none_or(|r| r == register.revision)
        && base.edition.is_none_or(|e| e == register.edition)
}

/// An in-flight request of a long history.
struct Sent {
    write: usize,
    attempt: usize,
    /// When it reaches the register; `answered` is when the answer arrives.
    arrives: u64,
    answered: u64,
    lost: bool,
}

/// Generates a history of many overlapping requests to a correct register: writes with and without
/// a base, lost answers, resent requests, and reads. Also returns the number of unknown attempts.
pub fn long_history(seed: u64, requests: usize) -> (History, usize) {
    let mut seed = seed;
    let mut history = History::default();
    let mut register = Register::default();
    let mut applied: BTreeMap<usize, u64> = BTreeMap::new();
    let mut in_flight: Vec<Sent> = Vec::new();
    let (mut now, mut made) = (0, 0);
    while made < requests || !in_flight.is_empty() {
        now += 1 + draw(&mut seed, 400);
        while let Some(at) = next_arrival(&in_flight, now) {
            let sent = in_flight.remove(at);
            arrive(&mut history, &mut register, &mut applied, sent);
        }
        if made == requests {
            continue;
        }
        made += 1;
        if draw(&mut seed, 4) == 0 {
            let seen = register.clone();
            history.reads.push(Read {
                via: "r".into(),
                sent: now - draw(&mut seed, 100).min(now),
                answered: now + draw(&mut seed, 100),
                revision: seen.revision,
                edition: Some(seen.edition),
                objects: seen.objects,
            });
            continue;
        }
        let again = draw(&mut seed, 5) == 0 && !history.writes.is_empty();
        let write = if again {
            draw(&mut seed, history.writes.len() as u64) as usize
        } else {
            history.writes.push(new_write(&mut seed, history.writes.len(), &register));
            history.writes.len() - 1
        };
        let attempts = &mut history.writes[write].attempts;
        attempts.push(Attempt {
            via: "w".into(),
            sent: now,
            answered: None,
            answer: Answer::Unknown,
        });
        let arrives = now + draw(&mut seed, 800);
        let answered = arrives + draw(&mut seed, 500);
        let lost = draw(&mut seed, 6) == 0;
        in_flight.push(Sent { write, attempt: attempts.len() - 1, arrives, answered, lost });
    }
    let all = history.writes.iter().flat_map(|w| &w.attempts);
    let unknown = all.filter(|a| a.answer == Answer::Unknown).count();
    (history, unknown)
}

fn next_arrival(in_flight: &[Sent], now: u64) -> Option<usize> {
    let due = in_flight.iter().enumerate().filter(|(_, s)| s.arrives <= now);
    due.min_by_key(|(_, s)| s.arrives).map(|(at, _)| at)
}

fn new_write(seed: &mut u64, number: usize, register: &Register) -> Write {
    let revision = register.revision.saturating_sub(draw(seed, 4) / 3);
    let (base, edition) = match draw(seed, 3) {
        0 => (Base { revision: Some(revision), edition: None }, None),
        1 => {
            let edition = register.edition;
            (Base { revision: None, edition: Some(edition) }, Some(edition + 1 + draw(seed, 3)))
        }
        _ => (Base::default(), None),
    };
    let name = format!("object-{}", draw(seed, 12));
    let puts = BTreeMap::from([(name, Some(format!("value-{number}")))]);
    let replaces = draw(seed, 40) == 0;
    let effect = Effect { replaces, keeps: Some("object-1".into()), puts, edition };
    Write { id: format!("w{number}"), text: 1, base, effect, attempts: Vec::new() }
}

/// Delivers a request to the register, which may already have applied it.
fn arrive(
    history: &mut History,
    register: &mut Register,
    applied: &mut BTreeMap<usize, u64>,
    sent: Sent,
) {
    let write = &mut history.writes[sent.write];
    let answer = if let Some(revision) = applied.get(&sent.write) {
        Answer::Accepted { revision: *revision }
    } else if is_current(register, write.base) {
        apply(register, &write.effect);
        applied.insert(sent.write, register.revision);
        Answer::Accepted { revision: register.revision }
    } else if write.base.revision.is_some() {
        Answer::Moved { version: Some(register.revision) }
    } else {
        Answer::Moved { version: Some(register.edition) }
    };
    if !sent.lost {
        let attempt = &mut write.attempts[sent.attempt];
        (attempt.answered, attempt.answer) = (Some(sent.answered), answer);
    }
}

/// Generates a small history with random answers; some are linearizable, most are not.
pub fn random_history(seed: &mut u64) -> History {
    let mut history = History::default();
    let writes = 1 + draw(seed, 3);
    for number in 0..writes {
        let base = match draw(seed, 4) {
            0 | 1 => Base { revision: Some(draw(seed, 2)), edition: None },
            2 => Base { revision: None, edition: Some(draw(seed, 2)) },
            _ => Base::default(),
        };
        let name = format!("o{}", draw(seed, 2));
        let puts = BTreeMap::from([(name, Some(format!("v{number}")))]);
        let edition = base.edition.map(|e| e + 1);
        let effect = Effect { puts, edition, ..Effect::default() };
        let attempts = (0..1 + draw(seed, 2)).map(|_| random_attempt(seed)).collect();
        history.writes.push(Write { id: format!("w{number}"), text: 1, base, effect, attempts });
    }
    for _ in 0..draw(seed, 3) {
        let (sent, answered) = span(seed);
        let mut objects = BTreeMap::new();
        let revision = draw(seed, 3);
        for _ in 0..revision {
            let value = format!("v{}", draw(seed, writes));
            objects.insert(format!("o{}", draw(seed, 2)), value);
        }
        let via = "r".to_string();
        history.reads.push(Read { via, sent, answered, revision, edition: None, objects });
    }
    history
}

fn span(seed: &mut u64) -> (u64, u64) {
    let sent = draw(seed, 12);
    (sent, sent + draw(seed, 5))
}

fn random_attempt(seed: &mut u64) -> Attempt {
    let (sent, answered) = span(seed);
    let answer = match draw(seed, 10) {
        0..=4 => Answer::Accepted { revision: 1 + draw(seed, 2) },
        5 | 6 => Answer::Moved { version: Some(draw(seed, 3)) },
        7 => Answer::Invalid,
        8 => Answer::Rejected,
        _ => Answer::Unknown,
    };
    let answered = (answer != Answer::Unknown).then_some(answered);
    Attempt { via: "w".into(), sent, answered, answer }
}

/// An operation of the brute-force checker.
#[derive(Clone, Copy)]
enum Operation {
    /// A write takes effect (by any attempt).
    Effect(usize),
    /// An attempt is answered from the current state.
    Answer(usize, usize),
    Read(usize),
}

/// Returns whether some order of all operations explains all answers, by trying every order.
pub fn is_linearizable(history: &History) -> bool {
    let mut operations = Vec::new();
    for (w, write) in history.writes.iter().enumerate() {
        operations.push(Operation::Effect(w));
        for (a, attempt) in write.attempts.iter().enumerate() {
            if attempt.answered.is_some() && attempt.answer != Answer::Rejected {
                operations.push(Operation::Answer(w, a));
            }
        }
    }
    operations.extend((0..history.reads.len()).map(Operation::Read));
    let mut same_id: Vec<(&String, u64)> = Vec::new();
    for write in history.writes.iter().filter(|w| w.revision().is_some()) {
        if same_id.iter().any(|(id, _)| *id == &write.id) {
            return false;
        }
        same_id.push((&write.id, write.text));
    }
    let mut left = operations;
    extend(history, &mut left, &Register::default(), &BTreeMap::new(), 0)
}

/// Tries every next operation. `now` is the latest start time placed so far.
fn extend(
    history: &History,
    left: &mut Vec<Operation>,
    register: &Register,
    applied: &BTreeMap<usize, u64>,
    now: u64,
) -> bool {
    // Only effects that are not required are left.
    if left.iter().all(|o| matches!(o, Operation::Effect(_))) {
        return true;
    }
    for at in 0..left.len() {
        let operation = left.remove(at);
        for (register, applied, from, to) in outcomes(history, operation, register, applied) {
            let moment = now.max(from);
            if moment <= to && extend(history, left, &register, &applied, moment) {
                left.insert(at, operation);
                return true;
            }
        }
        left.insert(at, operation);
    }
    false
}

type Outcome = (Register, BTreeMap<usize, u64>, u64, u64);

/// Returns the possible outcomes of an operation in a state: the next state, and the interval in
/// which the operation must take place.
fn outcomes(
    history: &History,
    operation: Operation,
    register: &Register,
    applied: &BTreeMap<usize, u64>,
) -> Vec<Outcome> {
    let same = |from, to| vec![(register.clone(), applied.clone(), from, to)];
    match operation {
        Operation::Effect(w) => {
            let write = &history.writes[w];
            if !is_current(register, write.base) {
                return Vec::new();
            }
            let applying = write.attempts.iter().filter(|a| a.may_apply());
            let (mut register, mut applied) = (register.clone(), applied.clone());
            apply(&mut register, &write.effect);
            applied.insert(w, register.revision);
            let after = |a: &Attempt| (register.clone(), applied.clone(), a.sent, u64::MAX);
            applying.map(after).collect()
        }
        Operation::Answer(w, a) => {
            let write = &history.writes[w];
            let attempt = &write.attempts[a];
            let (from, to) = (attempt.sent, attempt.answered.unwrap_or(u64::MAX));
            let before = !applied.contains_key(&w);
            let other = |base: Option<u64>, standing: u64, version: Option<u64>| {
                base.is_some_and(|b| b != standing) && version.is_none_or(|v| v == standing)
            };
            let possible = match attempt.answer {
                Answer::Accepted { revision } => applied.get(&w) == Some(&revision),
                Answer::Moved { version } => {
                    before
                        && (other(write.base.revision, register.revision, version)
                            || other(write.base.edition, register.edition, version))
                }
                Answer::Invalid => before,
                Answer::Rejected | Answer::Unknown => true,
            };
            if possible { same(from, to) } else { Vec::new() }
        }
        Operation::Read(r) => {
            let read = &history.reads[r];
            let seen = read.revision == register.revision
                && read.objects == register.objects
                && read.edition.is_none_or(|e| e == register.edition);
            if seen { same(read.sent, read.answered) } else { Vec::new() }
        }
    }
}
