use super::Violation;

/// Longest file outside tests, in lines.
const MAX_LINES: usize = 500;
/// Code that a request passes through, where calls are resolved at compile time.
const REQUEST_PATH: [&str; 7] = [
    "crates/core/src/",
    "crates/daemon/src/front/",
    "crates/daemon/src/gateway/",
    "crates/daemon/src/upstream/",
    "crates/daemon/src/peer/",
    "crates/daemon/src/control/",
    "platform/src/",
];
/// Top-level folders that only exist on somebody's machine.
const MACHINE_FOLDERS: [&str; 4] = ["home", "root", "work", "Users"];

/// Checks lines on their own, and their number.
pub fn check(path: &str, text: &str) -> Vec<Violation> {
    let mut found = Vec::new();
    let on_request_path = REQUEST_PATH.iter().any(|folder| path.starts_with(folder));
    for (index, line) in text.lines().enumerate() {
        if on_request_path && has_dyn(code_of(line)) {
            found.push(Violation::new(path, index + 1, "no dyn on the request path"));
        }
        if has_machine_path(line) {
            found.push(Violation::new(path, index + 1, "a path of somebody's machine"));
        }
    }
    let lines = text.lines().count();
    if lines > MAX_LINES && !path.contains("/tests/") {
        let what = format!("the file has {lines} lines, allowed are {MAX_LINES}");
        found.push(Violation::new(path, lines, what));
    }
    found
}

/// The part of a line before a comment. `//` within a URL does not begin one.
fn code_of(line: &str) -> &str {
    let comment = line.match_indices("//").find(|(at, _)| {
        let before = line[..*at].chars().next_back();
        before.is_none_or(char::is_whitespace)
    });
    comment.map_or(line, |(at, _)| &line[..at])
}

fn has_dyn(code: &str) -> bool {
    code.match_indices("dyn ").any(|(at, _)| {
        let before = code[..at].chars().next_back();
        before.is_none_or(|c| !c.is_alphanumeric() && c != '_')
    })
}

/// Whether a string on the line begins with a folder of [`MACHINE_FOLDERS`].
fn has_machine_path(line: &str) -> bool {
    line.match_indices("\"/").any(|(at, quote)| {
        let path = &line[at + quote.len()..];
        let end = path.find(|c: char| !c.is_alphanumeric()).unwrap_or(path.len());
        let whole = path[end..].starts_with(['/', '"']);
        whole && MACHINE_FOLDERS.contains(&&path[..end])
    })
}
