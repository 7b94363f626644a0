//! The conventions of the code that neither the formatter nor the linter checks.
//!
//! The checks look at lines, not at syntax trees: the formatter has brought the code into a known shape, so a line
//! tells enough. A check names the file and the line of each violation.

mod folders;
mod imports;
mod lines;

use std::fmt;

pub use self::folders::check_folders;

/// A breach of a convention.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// The file or folder, from the root of the workspace.
    pub path: String,
    /// The line, from 1; 0 if it is about the whole.
    pub line: usize,
    /// What is wrong.
    pub what: String,
}

impl Violation {
    fn new(path: &str, line: usize, what: impl Into<String>) -> Self {
        Self { path: path.to_owned(), line, what: what.into() }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.path, self.line, self.what)
    }
}

/// Checks one file. `path` starts at the root of the workspace and has `/` between its parts.
pub fn check_file(path: &str, text: &str) -> Vec<Violation> {
    let mut found = imports::check(path, text);
    found.extend(lines::check(path, text));
    found.sort();
    found
}
