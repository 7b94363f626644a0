use super::Violation;

/// Most lines of a file outside tests.
const MAX_FILE_LINES: usize = 500;
/// Folders of the code that handles requests, where calls are resolved at compile time.
const REQUEST_PATH_FOLDERS: [&str; 7] = [
    "crates/core/src/",
    "crates/daemon/src/front/",
    "crates/daemon/src/gateway/",
    "crates/daemon/src/upstream/",
    "crates/daemon/src/peer/",
    "crates/daemon/src/control/",
    "platform/src/",
];
/// Top-level folders whose contents are specific to one machine.
const MACHINE_FOLDERS: [&str; 4] = ["home", "root", "work", "Users"];

/// Checks each line of a file by itself, and the number of lines.
pub fn check(path: &str, text: &str) -> Vec<Violation> {
    let mut violations = Vec::new();
    let on_request_path = REQUEST_PATH_FOLDERS.iter().any(|folder| path.starts_with(folder));
    for (index, line) in text.lines().enumerate() {
        if on_request_path && has_dyn(strip_comment(line)) {
            violations.push(Violation::new(path, index + 1, "no dyn on the request path"));
        }
        if has_machine_path(line) {
            violations.push(Violation::new(path, index + 1, "a path of somebody's machine"));
        }
    }
    let lines = text.lines().count();
    if lines > MAX_FILE_LINES && !path.contains("/tests/") {
        let message = format!("the file has {lines} lines, allowed are {MAX_FILE_LINES}");
        violations.push(Violation::new(path, lines, message));
    }
    violations
}

/// The part of a line before a comment. Only `//` at the start or after white space begins a
/// comment, so that URLs are kept.
fn strip_comment(line: &str) -> &str {
    let comment = line.match_indices("//").find(|(index, _)| {
        let before = line[..*index].chars().next_back();
        before.is_none_or(char::is_whitespace)
    });
    comment.map_or(line, |(index, _)| &line[..index])
}

/// Whether the code contains the keyword `dyn`.
fn has_dyn(code: &str) -> bool {
    code.match_indices("dyn ").any(|(index, _)| {
        let before = code[..index].chars().next_back();
        before.is_none_or(|c| !c.is_alphanumeric() && c != '_')
    })
}

/// Whether a string literal on the line is a path in one of [`MACHINE_FOLDERS`].
fn has_machine_path(line: &str) -> bool {
    line.match_indices("\"/").any(|(index, prefix)| {
        let path = &line[index + prefix.len()..];
        let end = path.find(|c: char| !c.is_alphanumeric()).unwrap_or(path.len());
        let is_complete_name = path[end..].starts_with(['/', '"']);
        is_complete_name && MACHINE_FOLDERS.contains(&&path[..end])
    })
}
