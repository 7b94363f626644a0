//! Checks of code conventions that neither the formatter nor the linter covers.
//!
//! The checks work on lines instead of syntax trees. That is sufficient for code that the formatter
//! has brought into its standard form. Each violation is reported with its file and line.

mod folders;
mod imports;
mod lines;

use std::fmt;

pub use self::folders::check_folders;

/// A place in the code that does not follow a convention.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// Path of the file or folder, relative to the root of the workspace.
    pub path: String,
    /// Line number, from 1; 0 if the violation concerns a whole folder.
    pub line: usize,
    /// Description of the violation.
    pub message: String,
}

impl Violation {
    fn new(path: &str, line: usize, message: impl Into<String>) -> Self {
        Self { path: path.to_owned(), line, message: message.into() }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.path, self.line, self.message)
    }
}

/// Checks the imports and lines of one file.
///
/// `path` is relative to the root of the workspace, with `/` as the separator.
pub fn check_file(path: &str, text: &str) -> Vec<Violation> {
    let mut violations = imports::check(path, text);
    violations.extend(lines::check(path, text));
    violations.sort();
    violations
}
