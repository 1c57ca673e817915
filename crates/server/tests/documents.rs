//! Checks that the names in the documents exist: files, functions of the sources, and the faulty
//! variants of the simulator.

#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

/// Endings of the file names that are checked.
const FILE_ENDINGS: [&str; 4] = [".rs", ".toml", ".json", ".dot"];
/// Minimum number of underscores of a function name. Names with fewer may be fields, metrics or
/// settings.
const FUNCTION_UNDERSCORES: usize = 3;
/// Folders without sources and documents to check.
const SKIPPED: [&str; 3] = ["target", ".git", "journal"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().unwrap()
}

/// Adds all files below a folder, as paths relative to the root.
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

/// Returns the back-quoted names of a text outside of code blocks, with their line numbers.
fn quoted_names(text: &str) -> Vec<(usize, String)> {
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

/// Returns whether a name is a function name: words joined by underscores, perhaps abbreviated with
/// dots at the end.
fn is_function_name(name: &str) -> bool {
    let full_name = name.trim_end_matches("..");
    full_name.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_')
        && full_name.matches('_').count() >= FUNCTION_UNDERSCORES
}

/// Returns whether a name is a file of the users or one that is generated at run time.
fn is_external_name(name: &str) -> bool {
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
        for (line, name) in quoted_names(&read(&document)) {
            let exists = if is_external_name(&name) {
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
    assert!(missing.is_empty(), "named in a document, but missing:\n{}", missing.join("\n"));
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
    let missing: Vec<(usize, String)> = quoted_names(&rules)
        .into_iter()
        .filter(|(_, name)| is_variant(name) && !variants.contains(&format!("    {name},")))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}
