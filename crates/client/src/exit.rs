use std::process::ExitCode;

use crate::fleet::Finding;
use crate::fleet::Fleet;

/// Exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded and found no problem.
    Success = 0,
    /// A check or the output failed, or there are findings about the entries.
    Failed = 1,
    /// The arguments are wrong.
    Usage = 2,
    /// Some entries cannot be reached.
    Partial = 3,
    /// No entry can be reached.
    Unreachable = 4,
}

impl Exit {
    /// The exit code of a command that sent requests to entries. Findings take precedence over
    /// entries that cannot be reached.
    pub fn from_findings(fleet: &Fleet, findings: &[Finding]) -> Self {
        if fleet.reachable.is_empty() {
            Self::Unreachable
        } else if !findings.is_empty() {
            Self::Failed
        } else if !fleet.unreachable.is_empty() {
            Self::Partial
        } else {
            Self::Success
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
