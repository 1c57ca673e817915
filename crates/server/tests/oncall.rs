//! Each line that the daemons log at level warn or above has its entry in the on-call page.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use googletest::prelude::*;

/// Folders of the tools: what they print is not an alarm of a daemon.
const TOOLS: [&str; 6] =
    ["grebectl", "local_cluster", "mock_backends", "process_soak", "simulator", "testbed"];

/// What begins a line of level warn or above, or makes the text of one.
const MARKERS: [&str; 4] = ["Alarm(", "warn!(", "error!(", "eprintln!("];

/// Errors that are logged as they are, by their variants' texts.
const LOGGED_ERRORS: [&str; 1] = ["pub enum ConnectionError {"];

/// Lines that only pass a text on, which another line of this list makes. By file and count.
const PASSED_ON: [(&str, usize); 5] = [
    ("controller/controller_io.rs", 2),
    ("controller/main.rs", 1),
    ("querier/main.rs", 1),
    ("querier/membership_io.rs", 1),
    ("settings/reader.rs", 1),
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// All sources of the daemons under a folder.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for item in fs::read_dir(folder).unwrap() {
        let path = item.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap();
        if path.is_dir() && !TOOLS.contains(&name) && name != "tests" && name != "examples" {
            found.extend(sources(&path));
        } else if name.ends_with(".rs") {
            found.push(path);
        }
    }
    found
}

/// What stands between a bracket, just opened, and the one that closes it.
fn bracketed(code: &str) -> &str {
    let mut depth = 1;
    for (at, letter) in code.char_indices() {
        match letter {
            '(' | '{' => depth += 1,
            ')' | '}' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return &code[..at];
        }
    }
    panic!("a bracket is never closed");
}

/// The first string literal of `code` as it is printed, with `..` for each value.
fn literal(code: &str) -> Option<String> {
    let body = &code[code.find('"')? + 1..];
    let end = body.match_indices('"').map(|(at, _)| at).find(|at| !body[..*at].ends_with('\\'))?;
    let lines: Vec<&str> = body[..end].split("\\\n").map(str::trim_start).collect();
    let mut text = String::new();
    for piece in lines.concat().split('{') {
        match piece.split_once('}') {
            Some((_, fixed)) => text += &format!("..{fixed}"),
            None => text += piece,
        }
    }
    Some(text)
}

/// The text of an expression without a literal: a variable, made by the nearest statement
/// of its name above `at`, or a call, whose text is made in that function of the same file.
fn made_elsewhere(source: &str, at: usize, expression: &str) -> Option<String> {
    let variable = expression.trim().trim_end_matches(".into()");
    let expression = match source[..at].rfind(&format!("let {variable} =")) {
        Some(above) => &source[above..above + source[above..].find(";\n")?],
        None => expression,
    };
    literal(expression).or_else(|| {
        let called = expression.split('(').next()?.rsplit(['.', ':', ' ', '\n']).next()?;
        let body = &source[source.find(&format!("fn {called}("))?..];
        literal(&body[body.find("format!(")?..])
    })
}

/// The texts that a source logs; an empty one for each line that passes a text on.
fn logged(source: &str) -> Vec<String> {
    let mut texts = Vec::new();
    for marker in MARKERS {
        for (at, _) in source.match_indices(marker) {
            let made = bracketed(&source[at + marker.len()..]);
            let after = &source[at + marker.len() + made.len() + 1..];
            let line = source[..at].rsplit('\n').next().unwrap();
            let is_pattern = after.trim_start().starts_with("=>");
            if is_pattern || made == "String" || line.trim_start().starts_with("//") {
                continue;
            }
            let text = literal(made).or_else(|| made_elsewhere(source, at, made));
            let text = text.unwrap_or_else(|| panic!("`{marker}{made}` has no text of its own"));
            texts.push(if text == ".." { String::new() } else { text });
        }
    }
    for definition in LOGGED_ERRORS {
        let Some(at) = source.find(definition) else { continue };
        let variants = bracketed(&source[at + definition.len()..]);
        for (at, marker) in variants.match_indices("#[error(") {
            texts.push(literal(&variants[at + marker.len()..]).unwrap());
        }
    }
    texts
}

/// The entries of the page: its headings that are one piece of code.
fn entries(page: &str) -> BTreeSet<String> {
    page.lines()
        .filter_map(|line| line.strip_prefix("### `")?.strip_suffix('`'))
        .map(str::to_string)
        .collect()
}

#[googletest::test]
fn each_alarm_has_an_entry_in_the_on_call_page() {
    let page = fs::read_to_string(root().join("docs/oncall.md")).unwrap_or_default();
    let entries = entries(&page);
    let mut all = BTreeSet::new();
    for path in ["crates", "platform"].iter().flat_map(|folder| sources(&root().join(folder))) {
        let texts = logged(&fs::read_to_string(&path).unwrap());
        let passed_on = texts.iter().filter(|text| text.is_empty()).count();
        let known = PASSED_ON.iter().find(|(file, _)| path.ends_with(file)).map_or(0, |p| p.1);
        expect_that!(passed_on, eq(known), "lines of {} that pass a text on", path.display());
        for text in texts.into_iter().filter(|text| !text.is_empty()) {
            expect_that!(entries, contains(eq(&text)), "logged in {}", path.display());
            all.insert(text);
        }
    }
    // Guards against a page that speaks of lines which are gone, and against a scan of nothing.
    for entry in &entries {
        expect_that!(all, contains(eq(entry)), "has an entry, but is logged nowhere");
    }
    expect_that!(all.len(), ge(20));
}
