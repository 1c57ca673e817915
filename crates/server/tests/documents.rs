//! What the documents name must exist: files, functions of the sources, and the fleets
//! that are broken on purpose.

#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

/// Files that a document may name.
const FILE_ENDINGS: [&str; 4] = [".rs", ".toml", ".json", ".dot"];
/// Underscores from which on a name is taken for a function's: shorter ones may be fields,
/// metrics or words of a configuration.
const FUNCTION_UNDERSCORES: usize = 3;
/// Folders that hold no sources and no documents.
const SKIPPED: [&str; 3] = ["target", ".git", "journal"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().unwrap()
}

/// All files below a folder, by their paths from the root.
fn files_below(folder: &Path, root: &Path, found: &mut Vec<String>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().to_string();
        if path.is_dir() {
            if !SKIPPED.contains(&name.as_str()) {
                files_below(&path, root, found);
            }
        } else {
            found.push(path.strip_prefix(root).unwrap().to_string_lossy().to_string());
        }
    }
}

/// What stands between back quotes in a text, with its line, but for blocks of code.
fn quoted(text: &str) -> Vec<(usize, String)> {
    let mut found = Vec::new();
    let mut in_block = false;
    for (number, line) in text.lines().enumerate() {
        in_block ^= line.trim_start().starts_with("```");
        if !in_block && !line.starts_with("    ") {
            let names = line.split('`').skip(1).step_by(2);
            found.extend(names.map(|name| (number + 1, name.to_string())));
        }
    }
    found
}

fn is_file_name(name: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "_-./".contains(c);
    FILE_ENDINGS.iter().any(|end| name.ends_with(end)) && name.chars().all(is_plain)
}

/// Whether a name is a function's: words joined by underscores, perhaps cut short by dots.
fn is_function_name(name: &str) -> bool {
    let whole = name.trim_end_matches("..");
    whole.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_')
        && whole.matches('_').count() >= FUNCTION_UNDERSCORES
}

/// Names of the users' pages and of files that are made when something runs.
fn is_foreign(name: &str) -> bool {
    name.starts_with("../given") || name.starts_with("sites/") || name == "settings.json"
}

#[test]
fn each_file_and_function_named_in_a_document_exists() {
    let root = root();
    let mut files = Vec::new();
    files_below(&root, &root, &mut files);
    let read = |path: &&String| std::fs::read_to_string(root.join(path)).unwrap_or_default();
    let sources: String =
        files.iter().filter(|path| path.ends_with(".rs")).map(|path| read(&path)).collect();
    let mut missing = Vec::new();
    for document in files.iter().filter(|path| path.ends_with(".md")) {
        for (line, name) in quoted(&read(&document)) {
            let exists = if is_foreign(&name) {
                true
            } else if is_file_name(&name) {
                let ending = format!("/{name}");
                files.iter().any(|path| *path == name || path.ends_with(&ending))
            } else if is_function_name(&name) {
                sources.contains(name.trim_end_matches(".."))
            } else {
                true
            };
            if !exists {
                missing.push(format!("{document}:{line}: {name}"));
            }
        }
    }
    assert!(missing.is_empty(), "named, but not there:\n{}", missing.join("\n"));
}

#[test]
fn each_faulty_variant_named_in_the_rules_exists() {
    let root = root();
    let rules = std::fs::read_to_string(root.join("docs/rules.md")).unwrap();
    let variants = root.join("crates/simulator/src/world/faulty_variant.rs");
    let variants = std::fs::read_to_string(variants).unwrap();
    let is_variant = |name: &str| {
        name.chars().all(char::is_alphanumeric)
            && name.starts_with(char::is_uppercase)
            && name.chars().filter(|c| c.is_uppercase()).count() > 1
    };
    let missing: Vec<(usize, String)> = quoted(&rules)
        .into_iter()
        .filter(|(_, name)| is_variant(name) && !variants.contains(&format!("    {name},")))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}
