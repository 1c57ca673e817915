//! Words to stages. Reads on after a mistake, so that all are reported.

use crate::diagnostic::{Diagnostic, find};
use crate::routing_language::lexer::{Kind, Word, place, words};
use crate::routing_language::selector::Selector;

/// One stage with the place of its first word.
#[derive(Clone, Debug)]
pub struct Stage {
    pub verb: Verb,
    pub line: usize,
    pub col: usize,
}

/// What a stage says.
#[derive(Clone, PartialEq, Debug)]
pub enum Verb {
    From { sel: Selector, by: String },
    SendWide,
    SendOne,
    SendWeighed,
    Wait(u64),
    Stop(u64),
    Prefer { local: bool },
}

/// A cursor over the words of one text.
struct Reader<'a> {
    at: &'a str,
    words: Vec<Word>,
    pos: usize,
}

/// Reads a whole plan.
pub fn stages(at: &str, text: &str, all: &mut Vec<Diagnostic>) -> Vec<Stage> {
    let mut r = Reader { at, words: words(at, text, all), pos: 0 };
    let mut out = Vec::new();
    while r.pos < r.words.len() {
        let Word { kind, line, col } = r.words[r.pos].clone();
        if kind == Kind::End {
            r.pos += 1;
            continue;
        }
        match stage(&mut r) {
            Ok(verb) => out.push(Stage { verb, line, col }),
            Err(f) => {
                all.push(f);
                while r.pos < r.words.len() && r.words[r.pos].kind != Kind::End {
                    r.pos += 1;
                }
            }
        }
    }
    out
}

/// Reads a selector that stands alone; an empty text chooses all.
pub fn selector(at: &str, text: &str, all: &mut Vec<Diagnostic>) -> Option<Selector> {
    if text.trim().is_empty() {
        return Some(Selector::All);
    }
    let before = all.len();
    let mut r = Reader { at, words: words(at, text, all), pos: 0 };
    let sel = expr(&mut r);
    while matches!(r.words.get(r.pos), Some(w) if w.kind == Kind::End) {
        r.pos += 1;
    }
    match sel {
        Err(f) => all.push(f),
        Ok(_) if r.pos < r.words.len() => all.push(wrong(&r, "the end of the selector")),
        Ok(sel) if all.len() == before => return Some(sel),
        Ok(_) => {}
    }
    None
}

fn wrong(r: &Reader, want: &str) -> Diagnostic {
    let (got, line, col) = match r.words.get(r.pos) {
        Some(w) => (show(&w.kind), w.line, w.col),
        None => ("the end".into(), r.words.last().map_or(1, |w| w.line), 1),
    };
    let mut one = Vec::new();
    find(&mut one, place(r.at, line, col), format!("expected {want}, found {got}"));
    one.remove(0)
}

fn show(kind: &Kind) -> String {
    match kind {
        Kind::Name(n) => format!("`{n}`"),
        Kind::Text(t) => format!("\"{t}\""),
        Kind::Percent(n) => format!("{n}%"),
        Kind::Sign(s) => format!("`{s}`"),
        Kind::End => "the end of the stage".into(),
    }
}

fn name(r: &mut Reader, want: &str) -> Result<String, Diagnostic> {
    match r.words.get(r.pos).map(|w| w.kind.clone()) {
        Some(Kind::Name(n)) => {
            r.pos += 1;
            Ok(n)
        }
        _ => Err(wrong(r, want)),
    }
}

fn text(r: &mut Reader) -> Result<String, Diagnostic> {
    match r.words.get(r.pos).map(|w| w.kind.clone()) {
        Some(Kind::Text(t)) => {
            r.pos += 1;
            Ok(t)
        }
        _ => Err(wrong(r, "a text in quotes")),
    }
}

fn word(r: &mut Reader, want: &str) -> Result<(), Diagnostic> {
    if take(r, want) { Ok(()) } else { Err(wrong(r, &format!("`{want}`"))) }
}

/// Takes the word if it is next.
fn take(r: &mut Reader, want: &str) -> bool {
    let hit = match r.words.get(r.pos).map(|w| &w.kind) {
        Some(Kind::Name(n)) => n == want,
        Some(Kind::Sign(s)) => *s == want,
        _ => false,
    };
    r.pos += usize::from(hit);
    hit
}

fn percent(r: &mut Reader) -> Result<u64, Diagnostic> {
    match r.words.get(r.pos).map(|w| w.kind.clone()) {
        Some(Kind::Percent(n)) if (1..=100).contains(&n) => {
            r.pos += 1;
            Ok(n)
        }
        _ => Err(wrong(r, "a percentage from 1% to 100%")),
    }
}

fn stage(r: &mut Reader) -> Result<Verb, Diagnostic> {
    let verb = match name(r, "a stage")?.as_str() {
        "from" => {
            let sel = expr(r)?;
            word(r, "by")?;
            Verb::From { sel, by: name(r, "a label's name")? }
        }
        "send" if take(r, "wide") => Verb::SendWide,
        "send" => {
            if !take(r, "one") {
                return Err(wrong(r, "`wide` or `one by key`"));
            }
            word(r, "by")?;
            if take(r, "weight") {
                Verb::SendWeighed
            } else {
                word(r, "key")?;
                Verb::SendOne
            }
        }
        "wait" => Verb::Wait(percent(r)?),
        "stop" => {
            word(r, "at")?;
            word(r, "quorum")?;
            word(r, "after")?;
            Verb::Stop(percent(r)?)
        }
        "prefer" if take(r, "local") => Verb::Prefer { local: true },
        "prefer" if take(r, "any") => Verb::Prefer { local: false },
        "prefer" => return Err(wrong(r, "`local` or `any`")),
        _ => {
            r.pos -= 1;
            return Err(wrong(r, "one of `from`, `send`, `wait`, `stop`, `prefer`"));
        }
    };
    match r.words.get(r.pos).map(|w| &w.kind) {
        None | Some(Kind::End) => Ok(verb),
        _ => Err(wrong(r, "the end of the stage")),
    }
}

fn expr(r: &mut Reader) -> Result<Selector, Diagnostic> {
    let mut subs = vec![both(r)?];
    while take(r, "or") {
        subs.push(both(r)?);
    }
    Ok(if subs.len() == 1 { subs.remove(0) } else { Selector::Or(subs) })
}

fn both(r: &mut Reader) -> Result<Selector, Diagnostic> {
    let mut subs = vec![term(r)?];
    while take(r, "and") {
        subs.push(term(r)?);
    }
    Ok(if subs.len() == 1 { subs.remove(0) } else { Selector::And(subs) })
}

fn term(r: &mut Reader) -> Result<Selector, Diagnostic> {
    if take(r, "not") {
        return Ok(Selector::Not(Box::new(term(r)?)));
    }
    if take(r, "(") {
        let sub = expr(r)?;
        word(r, ")")?;
        return Ok(sub);
    }
    let key = name(r, "a label's name, `not` or `(`")?;
    if take(r, "=") {
        return Ok(Selector::Is(key, text(r)?));
    }
    if take(r, "!=") {
        return Ok(Selector::Not(Box::new(Selector::Is(key, text(r)?))));
    }
    if !take(r, "in") {
        return Err(wrong(r, "`=`, `!=` or `in`"));
    }
    word(r, "(")?;
    let mut vals = vec![text(r)?];
    while take(r, ",") {
        vals.push(text(r)?);
    }
    word(r, ")")?;
    Ok(Selector::In(key, vals))
}
