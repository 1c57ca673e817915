//! Cuts a text of the small language into words.

use crate::diagnostic::{Diagnostic, find};

/// What a word is.
#[derive(Clone, PartialEq, Debug)]
pub enum Kind {
    Name(String),
    Text(String),
    Percent(u64),
    Sign(&'static str),
    /// End of a stage: a line end or `;`.
    End,
}

/// A word with the line and column where it begins, both from 1.
#[derive(Clone, Debug)]
pub struct Word {
    pub kind: Kind,
    pub line: usize,
    pub col: usize,
}

/// The place of a word within the text that stands at `at`.
pub fn place(at: &str, line: usize, col: usize) -> String {
    format!("{at}:{line}:{col}")
}

/// Cuts `text` into words; what can't be read becomes a finding.
pub fn words(at: &str, text: &str, all: &mut Vec<Diagnostic>) -> Vec<Word> {
    let mut out = Vec::new();
    for (row, line) in text.split('\n').enumerate() {
        line_words(at, row + 1, line, &mut out, all);
        out.push(Word { kind: Kind::End, line: row + 1, col: line.chars().count() + 1 });
    }
    out
}

fn line_words(at: &str, row: usize, line: &str, out: &mut Vec<Word>, all: &mut Vec<Diagnostic>) {
    let chars: Vec<char> = line.chars().collect();
    let mut i = 0;
    while i < chars.len() {
        let c = chars[i];
        let col = i + 1;
        if c.is_whitespace() {
            i += 1;
            continue;
        }
        if c == '#' || (c == '/' && chars.get(i + 1) == Some(&'/')) {
            return;
        }
        let kind = if c == '"' {
            let end = chars[i + 1..].iter().position(|c| *c == '"').map(|n| i + 1 + n);
            let Some(end) = end else {
                find(all, place(at, row, col), "text without a closing quote");
                return;
            };
            let text = chars[i + 1..end].iter().collect();
            i = end + 1;
            Kind::Text(text)
        } else if c.is_ascii_digit() {
            let end = run(&chars, i, |c| c.is_ascii_digit());
            let num: String = chars[i..end].iter().collect();
            i = end;
            if chars.get(i) != Some(&'%') {
                find(all, place(at, row, col), "a number here is a percentage and ends in %");
                continue;
            }
            i += 1;
            match num.parse() {
                Ok(n) => Kind::Percent(n),
                Err(_) => {
                    find(all, place(at, row, col), "number too large");
                    continue;
                }
            }
        } else if c.is_alphabetic() || c == '_' {
            let end = run(&chars, i, |c| c.is_alphanumeric() || matches!(c, '_' | '-' | '.'));
            let name = chars[i..end].iter().collect();
            i = end;
            Kind::Name(name)
        } else {
            let two = c == '!' && chars.get(i + 1) == Some(&'=');
            let sign = match c {
                _ if two => "!=",
                '=' => "=",
                '(' => "(",
                ')' => ")",
                ',' => ",",
                ';' => ";",
                _ => "",
            };
            i += if two { 2 } else { 1 };
            match sign {
                "" => {
                    find(all, place(at, row, col), format!("unexpected character {c:?}"));
                    continue;
                }
                ";" => Kind::End,
                sign => Kind::Sign(sign),
            }
        };
        out.push(Word { kind, line: row, col });
    }
}

fn run(chars: &[char], from: usize, fit: impl Fn(char) -> bool) -> usize {
    let mut end = from;
    while end < chars.len() && fit(chars[end]) {
        end += 1;
    }
    end
}
