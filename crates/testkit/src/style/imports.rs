use super::Violation;

/// The groups of imports, in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Std,
    External,
    Own,
    Public,
}

impl Group {
    /// The group of an import, from its path.
    fn of(path: &str) -> Self {
        let first = path.trim_start_matches("::").split("::").next().unwrap_or_default();
        match first.trim_end_matches(';') {
            "std" | "core" | "alloc" => Self::Std,
            "crate" | "self" | "super" => Self::Own,
            name if name.starts_with("jackdawpin_") => Self::Own,
            _ => Self::External,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Std => "std",
            Self::External => "external crates",
            Self::Own => "own crates and modules",
            Self::Public => "pub use",
        }
    }
}

/// An import that was seen, to compare the next one with.
struct Last {
    group: Group,
    /// Whether something other than comments and attributes came after it.
    separated: bool,
}

/// Checks that there is one import per line, without braces, and that the groups are in order and apart.
pub fn check(path: &str, text: &str) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut last: Option<Last> = None;
    for (index, line) in text.lines().enumerate() {
        let number = index + 1;
        let Some((public, import)) = split(line.trim_start()) else {
            let code = line.trim_start();
            let transparent = code.starts_with("//") || code.starts_with("#[");
            if let Some(last) = last.as_mut().filter(|_| !transparent) {
                last.separated = true;
            }
            continue;
        };
        if import.contains('{') {
            found.push(Violation::new(path, number, "an import must not have braces"));
        } else if !import.trim_end().ends_with(';') {
            found.push(Violation::new(path, number, "an import must be one line"));
        }
        // Imports within functions and modules are not grouped.
        if line.starts_with(char::is_whitespace) {
            continue;
        }
        let group = if public { Group::Public } else { Group::of(import) };
        if let Some(what) = last.as_ref().and_then(|last| misplaced(last, group)) {
            found.push(Violation::new(path, number, what));
        }
        last = Some(Last { group, separated: false });
    }
    found
}

/// Splits an import into whether it is public and its path.
fn split(code: &str) -> Option<(bool, &str)> {
    if let Some(path) = code.strip_prefix("use ") {
        return Some((false, path));
    }
    let rest = code.strip_prefix("pub")?;
    let rest = match rest.strip_prefix('(') {
        Some(scope) => scope.split_once(')')?.1,
        None => rest,
    };
    rest.strip_prefix(" use ").map(|path| (true, path))
}

fn misplaced(last: &Last, group: Group) -> Option<String> {
    if group < last.group {
        return Some(format!("{} must come before {}", group.name(), last.group.name()));
    }
    match (group == last.group, last.separated) {
        (true, true) => Some(format!("the group of {} must not be split", group.name())),
        (false, false) => {
            Some(format!("a blank line is missing before the group of {}", group.name()))
        }
        _ => None,
    }
}
