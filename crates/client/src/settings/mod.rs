//! Parses and checks the arguments and the environment variable `JACKDAWPIN_ENTRIES`.
//!
//! Options are accepted before and after the command, so all commands share one set of options;
//! [`Settings`] are only built if each given option belongs to the command. `--entries` takes
//! precedence over the environment variable.

mod arguments;
mod since;

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;
use quick_error::quick_error;

use crate::Invocation;
use jackdawpin_core::name;

pub use self::arguments::Arguments;
pub use self::since::Since;

/// Timeout of one request to one entry, if `--timeout-ms` is not given.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest value of `--timeout-ms`, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 60_000;

/// Usage of `check`.
const CHECK_USAGE: &str = "check [--vms | --against VMLIST] FILE";

/// Start of the help: the commands and the exit codes. The options follow.
const HELP_HEADER: &str = "\
Usage: jackdawpin [OPTIONS] COMMAND

Commands:
  check FILE               check a configuration, or with --vms a VM list
  status                   show each entry and the servers that it holds
  explain SERVICE SERVER   show the values in force for a server and why
  timeline                 show the events of all entries in one order
  top                      show rates and latency per service

Exit codes:
  0  all is fine
  1  a check failed, or entries disagree, are fenced or refused a document
  2  wrong arguments
  3  some entries cannot be reached
  4  no entry can be reached

Options:
";

quick_error! {
    /// Why the arguments are invalid.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// The arguments do not follow the syntax of options.
        Syntax(message: String) {
            display("{}; see --help", message)
        }
        /// An argument or the environment variable is not UTF-8.
        Encoding(text: OsString) {
            display("{:?} is not valid UTF-8", text)
        }
        /// There is no command.
        NoCommand {
            display("a command is missing; see --help")
        }
        /// The command does not exist.
        UnknownCommand(name: String) {
            display("command {:?} does not exist; see --help", name)
        }
        /// The command has too many or too few arguments.
        Usage(usage: &'static str) {
            display("usage: jackdawpin {}", usage)
        }
        /// The option does not belong to the command.
        MisplacedOption(option: &'static str, command: String) {
            display("option --{} does not belong to {}", option, command)
        }
        /// No address of an entry is given.
        NoEntries {
            display("name entries to ask with --entries or JACKDAWPIN_ENTRIES")
        }
        /// An address is not a host with a port.
        Address(text: String) {
            display("{:?} is not HOST:PORT", text)
        }
        /// The timeout is out of range.
        Timeout(millis: u64) {
            display("timeout-ms is {}, allowed is 1 to {}", millis, MAX_TIMEOUT_MS)
        }
        /// A point in time cannot be parsed.
        Since(text: String) {
            display("{:?} is neither a duration such as 90s, 10m, 2h or 1d nor a time such as 2026-05-03T08:00:00Z", text)
        }
        /// A name is not valid.
        Name(text: String, err: name::Error) {
            display("{:?}: {}", text, err)
        }
    }
}

/// What the process does, according to its arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Print a text: the help or the version.
    Print(String),
    /// Run a command.
    Run(Settings),
}

/// Checked settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The command.
    pub command: Command,
    /// Format of results.
    pub format: OutputFormat,
    /// Addresses of the entries from which the others are discovered, as `HOST:PORT`.
    pub entries: Vec<String>,
    /// Timeout of one request to one entry.
    pub timeout: Duration,
}

/// Format of results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Tables and sentences.
    Text,
    /// JSON.
    Json,
}

/// A command and its arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Check a document.
    Check {
        /// The file with the document.
        file: PathBuf,
        /// Kind of the document.
        document: Document,
    },
    /// Show entries and servers.
    Status,
    /// Show the values in force for a server.
    Explain {
        /// The service.
        service: name::Service,
        /// Name of the server's VM.
        server: name::Vm,
    },
    /// Show events.
    Timeline {
        /// Selects the events.
        filter: EventFilter,
        /// Whether to continue with new events.
        follow: bool,
    },
    /// Show rates.
    Top {
        /// Whether to stop after the first output.
        once: bool,
    },
}

/// A document to check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Document {
    /// A configuration.
    Config {
        /// The file with the VM list that must have the names in the configuration.
        against: Option<PathBuf>,
    },
    /// A VM list.
    VmList,
}

/// Selects events of the timeline. An empty filter selects all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EventFilter {
    /// Kinds of event; all if empty.
    pub kinds: Vec<String>,
    /// Service that the event concerns.
    pub service: Option<String>,
    /// VM that the event concerns, or whose timeline it is on.
    pub vm: Option<String>,
    /// Start of the selected part of the timeline.
    pub since: Option<Since>,
}

/// Parses and checks the settings.
///
/// # Errors
///
/// The first problem that is found.
pub fn parse(invocation: Invocation) -> Result<Action, Error> {
    let words: Vec<String> =
        invocation.arguments.into_iter().map(decode_utf8).collect::<Result<_, _>>()?;
    let mut arguments =
        Arguments::parse_args_default(&words).map_err(|error| Error::Syntax(error.to_string()))?;
    if arguments.help {
        return Ok(Action::Print(help()));
    }
    if arguments.version {
        return Ok(Action::Print(format!("jackdawpin {}\n", env!("CARGO_PKG_VERSION"))));
    }
    if arguments.entries.is_empty() {
        arguments.entries.extend(invocation.entries_variable.map(decode_utf8).transpose()?);
    }
    Settings::try_from(arguments).map(Action::Run)
}

fn help() -> String {
    // The text before lists the positional arguments, which the header describes.
    let usage = Arguments::usage();
    let options = usage.split_once("Optional arguments:\n").map_or(usage, |(_, options)| options);
    format!("{HELP_HEADER}{options}\n")
}

fn decode_utf8(text: OsString) -> Result<String, Error> {
    text.into_string().map_err(Error::Encoding)
}

impl TryFrom<Arguments> for Settings {
    type Error = Error;

    fn try_from(mut arguments: Arguments) -> Result<Self, Error> {
        let format = if arguments.json { OutputFormat::Json } else { OutputFormat::Text };
        let timeout = parse_timeout(arguments.timeout_ms)?;
        let entries = parse_entries(&arguments.entries)?;
        let words = std::mem::take(&mut arguments.words);
        let command = parse_command(&words, arguments)?;
        if entries.is_empty() && !matches!(command, Command::Check { .. }) {
            return Err(Error::NoEntries);
        }
        Ok(Self { command, format, entries, timeout })
    }
}

fn parse_timeout(millis: Option<u64>) -> Result<Duration, Error> {
    match millis {
        None => Ok(DEFAULT_TIMEOUT),
        Some(millis) if (1..=MAX_TIMEOUT_MS).contains(&millis) => Ok(Duration::from_millis(millis)),
        Some(millis) => Err(Error::Timeout(millis)),
    }
}

/// Splits lists of addresses at commas and checks each address.
fn parse_entries(lists: &[String]) -> Result<Vec<String>, Error> {
    let mut entries: Vec<String> = Vec::new();
    let addresses = lists.iter().flat_map(|list| list.split(',')).map(str::trim);
    for address in addresses.filter(|address| !address.is_empty()) {
        check_address(address)?;
        if !entries.iter().any(|known| known == address) {
            entries.push(address.to_owned());
        }
    }
    Ok(entries)
}

fn check_address(text: &str) -> Result<(), Error> {
    let invalid = || Error::Address(text.to_owned());
    let (host, port) = text.rsplit_once(':').ok_or_else(invalid)?;
    let port: u16 = port.parse().map_err(|_| invalid())?;
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._:[]".contains(&byte);
    if port == 0 || host.is_empty() || !host.bytes().all(allowed) {
        return Err(invalid());
    }
    Ok(())
}

fn parse_command(words: &[String], arguments: Arguments) -> Result<Command, Error> {
    let (name, operands) = words.split_first().ok_or(Error::NoCommand)?;
    arguments.check_options(name)?;
    match (name.as_str(), operands) {
        ("check", [file]) => parse_check(file, arguments),
        ("check", _) => Err(Error::Usage(CHECK_USAGE)),
        ("status", []) => Ok(Command::Status),
        ("status", _) => Err(Error::Usage("status")),
        ("explain", [service, server]) => parse_explain(service, server),
        ("explain", _) => Err(Error::Usage("explain SERVICE SERVER")),
        ("timeline", []) => parse_timeline(arguments),
        ("timeline", _) => Err(Error::Usage("timeline [OPTIONS]")),
        ("top", []) => Ok(Command::Top { once: arguments.once }),
        ("top", _) => Err(Error::Usage("top [--once]")),
        _ => Err(Error::UnknownCommand(name.clone())),
    }
}

fn parse_check(file: &str, arguments: Arguments) -> Result<Command, Error> {
    let document = match (arguments.vms, arguments.against) {
        (false, against) => Document::Config { against: against.map(PathBuf::from) },
        (true, None) => Document::VmList,
        (true, Some(_)) => return Err(Error::Usage(CHECK_USAGE)),
    };
    Ok(Command::Check { file: file.into(), document })
}

fn parse_explain(service: &str, server: &str) -> Result<Command, Error> {
    let service = service.try_into().map_err(|error| Error::Name(service.to_owned(), error))?;
    let server = server.try_into().map_err(|error| Error::Name(server.to_owned(), error))?;
    Ok(Command::Explain { service, server })
}

fn parse_timeline(arguments: Arguments) -> Result<Command, Error> {
    let since = arguments.since.as_deref().map(Since::try_from).transpose()?;
    let kinds = arguments.kind.iter().flat_map(|list| list.split(',')).map(str::to_owned);
    let filter =
        EventFilter { kinds: kinds.collect(), service: arguments.service, vm: arguments.vm, since };
    Ok(Command::Timeline { filter, follow: arguments.follow })
}
