use std::process::ExitCode;

use crate::fleet::Finding;
use crate::fleet::Fleet;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// All is fine.
    Fine = 0,
    /// A check failed, or something is wrong with the entries.
    Failed = 1,
    /// The arguments are wrong.
    Usage = 2,
    /// Some entries cannot be reached.
    Partial = 3,
    /// No entry can be reached.
    Unreachable = 4,
}

impl Exit {
    /// The result of a command that asked entries. What is known to be wrong counts more than what
    /// is not known.
    pub fn of(fleet: &Fleet, findings: &[Finding]) -> Self {
        if fleet.members.is_empty() {
            Self::Unreachable
        } else if !findings.is_empty() {
            Self::Failed
        } else if !fleet.unreachable.is_empty() {
            Self::Partial
        } else {
            Self::Fine
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
