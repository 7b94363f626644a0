use super::Violation;

/// The groups of imports, in the required order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Std,
    External,
    Own,
    Public,
}

impl Group {
    /// The group of a private import with this path.
    fn from_path(path: &str) -> Self {
        let first = path.trim_start_matches("::").split("::").next().unwrap_or_default();
        match first.trim_end_matches(';') {
            "std" | "core" | "alloc" => Self::Std,
            "crate" | "self" | "super" => Self::Own,
            name if name.starts_with("jackdawpin_") => Self::Own,
            _ => Self::External,
        }
    }

    /// The name of the group in messages.
    fn name(self) -> &'static str {
        match self {
            Self::Std => "std",
            Self::External => "external crates",
            Self::Own => "own crates and modules",
            Self::Public => "pub use",
        }
    }
}

/// The previous import of the file, with which the next one is compared.
struct PreviousImport {
    group: Group,
    /// Whether a blank line or code follows it; comments and attributes do not count.
    separated: bool,
}

/// Checks the form and the order of the imports of a file.
///
/// Each import must be on one line and without braces. The groups must be in order, separated from
/// each other and not split.
pub fn check(path: &str, text: &str) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut previous: Option<PreviousImport> = None;
    for (index, line) in text.lines().enumerate() {
        let line_number = index + 1;
        let Some((is_public, path_text)) = parse_import(line.trim_start()) else {
            let code = line.trim_start();
            let is_ignored = code.starts_with("//") || code.starts_with("#[");
            if let Some(previous) = previous.as_mut().filter(|_| !is_ignored) {
                previous.separated = true;
            }
            continue;
        };
        if path_text.contains('{') {
            violations.push(Violation::new(path, line_number, "an import must not have braces"));
        } else if !path_text.trim_end().ends_with(';') {
            violations.push(Violation::new(path, line_number, "an import must be one line"));
        }
        // The order of imports within functions and inline modules is not checked.
        if line.starts_with(char::is_whitespace) {
            continue;
        }
        let group = if is_public { Group::Public } else { Group::from_path(path_text) };
        if let Some(message) = previous.as_ref().and_then(|import| check_order(import, group)) {
            violations.push(Violation::new(path, line_number, message));
        }
        previous = Some(PreviousImport { group, separated: false });
    }
    violations
}

/// Parses a `use` item into whether it has a visibility (`pub`, `pub(...)`) and the rest of the
/// line after `use`; `None` if the line is no import.
fn parse_import(code: &str) -> Option<(bool, &str)> {
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

/// Compares the group of an import with the previous import; returns the violation, if there is
/// one.
fn check_order(previous: &PreviousImport, group: Group) -> Option<String> {
    if group < previous.group {
        return Some(format!("{} must come before {}", group.name(), previous.group.name()));
    }
    match (group == previous.group, previous.separated) {
        (true, true) => Some(format!("the group of {} must not be split", group.name())),
        (false, false) => {
            Some(format!("a blank line is missing before the group of {}", group.name()))
        }
        _ => None,
    }
}
