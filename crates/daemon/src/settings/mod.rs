//! Settings of the daemon: flags and environment variables.
//!
//! One table ([`table`]) describes every setting. gumdrop splits the command line into flags and
//! values; [`raw`] looks them up in the table and, since gumdrop does not read the environment,
//! adds the environment variables of the settings that were not given as flags. The conversion from
//! [`RawValues`] to [`Settings`] checks all values and reports all problems together, so that an
//! operator need not start the daemon once for each.

mod check;
mod help;
mod problem;
mod raw;
mod rule;
pub mod table;

use std::net::SocketAddr;
use std::time::Duration;

use log::LevelFilter;

use crate::listen::Limits;
use jackdawpin_core::name;

pub use self::help::Help;
pub use self::problem::Problem;
pub use self::problem::Problems;
pub use self::raw::RawValues;
pub use self::rule::Rule;

/// Exit code of the process when the settings are not valid.
pub const EXIT_INVALID: u8 = 2;

/// The checked settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of this VM.
    pub vm: name::Vm,
    /// Failure domain of this VM.
    pub domain: name::Domain,
    /// Region of this VM.
    pub region: name::Region,
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Address on which other entries and operators connect.
    pub control: SocketAddr,
    /// Address of the platform's configuration service.
    pub platform: SocketAddr,
    /// Control addresses of other entries.
    pub seeds: Vec<SocketAddr>,
    /// Number of worker threads.
    pub workers: usize,
    /// Level and format of the log.
    pub log: LogSettings,
    /// Limits of each listener.
    pub limits: Limits,
    /// Largest total size in bytes of all bodies that are buffered at the same time.
    pub max_buffered_bytes: usize,
    /// Time limit of a planned stop; `None` if it waits until no request is in flight.
    pub stop_limit: Option<Duration>,
    /// Keys of the documents.
    pub keys: DocumentKeys,
}

/// Level and format of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// Format of the lines.
    pub format: LogFormat,
    /// Lowest level that is logged.
    pub level: LevelFilter,
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Text, one line per message.
    Text,
    /// JSON, one object per line.
    Json,
}

/// Keys of the documents in the platform's configuration service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentKeys {
    /// Key of the configuration.
    pub config: String,
    /// Key of the list of VMs.
    pub vms: String,
}

/// What the command line asks the program to do.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Report that these settings are valid.
    Check(Settings),
    /// Run the daemon with these settings.
    Run(Settings),
}

impl Command {
    /// Parses the command line, without the name of the program, and the environment variables,
    /// which `variable` looks up by name.
    ///
    /// # Errors
    ///
    /// All problems of the settings. `--help` and `--version` succeed even if there are any.
    pub fn read(
        arguments: &[impl AsRef<str>],
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, Problems> {
        let raw = RawValues::collect(arguments, variable);
        if raw.has_action(&table::HELP) {
            return Ok(Self::Help);
        }
        if raw.has_action(&table::VERSION) {
            return Ok(Self::Version);
        }
        let check = raw.has_action(&table::CHECK);
        let settings = Settings::try_from(raw)?;
        Ok(if check { Self::Check(settings) } else { Self::Run(settings) })
    }
}
