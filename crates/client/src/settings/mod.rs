//! Settings: arguments and one environment variable, checked.
//!
//! All options may stand before or after the command, so there is one set of options; [`Settings`]
//! is only built if each option that is given belongs to the command. `--entries` goes before the
//! environment variable.

mod arguments;
mod since;

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;
use quick_error::quick_error;

use crate::Surroundings;
use jackdawpin_core::name;

pub use self::arguments::Arguments;
pub use self::since::Since;

/// Time for one question to one entry, if `--timeout-ms` is not given.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that `--timeout-ms` allows, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 60_000;

/// Usage of `check`.
const CHECK: &str = "check [--vms | --against VMLIST] FILE";

/// What the commands do and what the exit codes mean; the options follow.
const HELP: &str = "\
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
    /// Why arguments are wrong.
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
        Command(word: String) {
            display("command {:?} does not exist; see --help", word)
        }
        /// The command has too many or too few arguments.
        Words(usage: &'static str) {
            display("usage: jackdawpin {}", usage)
        }
        /// The option does not belong to the command.
        Option(option: &'static str, command: String) {
            display("option --{} does not belong to {}", option, command)
        }
        /// No entry to ask is named.
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
        /// A point in time cannot be read.
        Since(text: String) {
            display("{:?} is neither a duration such as 90s, 10m, 2h or 1d nor a time such as 2026-05-03T08:00:00Z", text)
        }
        /// A name is not valid.
        Name(text: String, err: name::Error) {
            display("{:?}: {}", text, err)
        }
    }
}

/// What the arguments ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
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
    /// How results are printed.
    pub format: Format,
    /// The entries to ask first, as `HOST:PORT`.
    pub entries: Vec<String>,
    /// Time for one question to one entry.
    pub timeout: Duration,
}

/// How results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
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
        /// What it is.
        document: Document,
    },
    /// Show entries and servers.
    Status,
    /// Show the values in force for a server.
    Explain {
        /// The service.
        service: name::Service,
        /// The server's VM.
        server: name::Vm,
    },
    /// Show events.
    Timeline {
        /// Which events.
        filter: Filter,
        /// Whether to go on with new events.
        follow: bool,
    },
    /// Show rates.
    Top {
        /// Whether to stop after the first view.
        once: bool,
    },
}

/// A document to check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Document {
    /// A configuration.
    Config {
        /// The file with the VM list that must have the names in it.
        against: Option<PathBuf>,
    },
    /// A VM list.
    Vms,
}

/// Which events of the timeline are shown. An empty filter shows all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Filter {
    /// Kinds of event; any if empty.
    pub kinds: Vec<String>,
    /// Service that the event is about.
    pub service: Option<String>,
    /// VM that the event is about, or on whose timeline it is.
    pub vm: Option<String>,
    /// The earliest event.
    pub since: Option<Since>,
}

/// Reads the settings.
///
/// # Errors
///
/// The first argument that is wrong.
pub fn read(surroundings: Surroundings) -> Result<Request, Error> {
    let words: Vec<String> =
        surroundings.words.into_iter().map(decode).collect::<Result<_, _>>()?;
    let mut arguments =
        Arguments::parse_args_default(&words).map_err(|error| Error::Syntax(error.to_string()))?;
    if arguments.help {
        return Ok(Request::Print(help()));
    }
    if arguments.version {
        return Ok(Request::Print(format!("jackdawpin {}\n", env!("CARGO_PKG_VERSION"))));
    }
    if arguments.entries.is_empty() {
        arguments.entries.extend(surroundings.entries.map(decode).transpose()?);
    }
    Settings::try_from(arguments).map(Request::Run)
}

fn help() -> String {
    // The part before lists the free arguments, which are described with the commands.
    let usage = Arguments::usage();
    let options = usage.split_once("Optional arguments:\n").map_or(usage, |(_, options)| options);
    format!("{HELP}{options}\n")
}

fn decode(text: OsString) -> Result<String, Error> {
    text.into_string().map_err(Error::Encoding)
}

impl TryFrom<Arguments> for Settings {
    type Error = Error;

    fn try_from(mut arguments: Arguments) -> Result<Self, Error> {
        let format = if arguments.json { Format::Json } else { Format::Text };
        let timeout = timeout(arguments.timeout_ms)?;
        let entries = entries(&arguments.entries)?;
        let words = std::mem::take(&mut arguments.words);
        let command = command(&words, arguments)?;
        if entries.is_empty() && !matches!(command, Command::Check { .. }) {
            return Err(Error::NoEntries);
        }
        Ok(Self { command, format, entries, timeout })
    }
}

fn timeout(millis: Option<u64>) -> Result<Duration, Error> {
    match millis {
        None => Ok(DEFAULT_TIMEOUT),
        Some(millis) if (1..=MAX_TIMEOUT_MS).contains(&millis) => Ok(Duration::from_millis(millis)),
        Some(millis) => Err(Error::Timeout(millis)),
    }
}

/// Splits lists of addresses at commas and checks each address.
fn entries(lists: &[String]) -> Result<Vec<String>, Error> {
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
    let wrong = || Error::Address(text.to_owned());
    let (host, port) = text.rsplit_once(':').ok_or_else(wrong)?;
    let port: u16 = port.parse().map_err(|_| wrong())?;
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._:[]".contains(&byte);
    if port == 0 || host.is_empty() || !host.bytes().all(allowed) {
        return Err(wrong());
    }
    Ok(())
}

fn command(words: &[String], arguments: Arguments) -> Result<Command, Error> {
    let (word, rest) = words.split_first().ok_or(Error::NoCommand)?;
    arguments.check_options(word)?;
    match (word.as_str(), rest) {
        ("check", [file]) => check(file, arguments),
        ("check", _) => Err(Error::Words(CHECK)),
        ("status", []) => Ok(Command::Status),
        ("status", _) => Err(Error::Words("status")),
        ("explain", [service, server]) => explain(service, server),
        ("explain", _) => Err(Error::Words("explain SERVICE SERVER")),
        ("timeline", []) => timeline(arguments),
        ("timeline", _) => Err(Error::Words("timeline [OPTIONS]")),
        ("top", []) => Ok(Command::Top { once: arguments.once }),
        ("top", _) => Err(Error::Words("top [--once]")),
        _ => Err(Error::Command(word.clone())),
    }
}

fn check(file: &str, arguments: Arguments) -> Result<Command, Error> {
    let document = match (arguments.vms, arguments.against) {
        (false, against) => Document::Config { against: against.map(PathBuf::from) },
        (true, None) => Document::Vms,
        (true, Some(_)) => return Err(Error::Words(CHECK)),
    };
    Ok(Command::Check { file: file.into(), document })
}

fn explain(service: &str, server: &str) -> Result<Command, Error> {
    let service = service.try_into().map_err(|error| Error::Name(service.to_owned(), error))?;
    let server = server.try_into().map_err(|error| Error::Name(server.to_owned(), error))?;
    Ok(Command::Explain { service, server })
}

fn timeline(arguments: Arguments) -> Result<Command, Error> {
    let since = arguments.since.as_deref().map(Since::try_from).transpose()?;
    let kinds = arguments.kind.iter().flat_map(|list| list.split(',')).map(str::to_owned);
    let filter =
        Filter { kinds: kinds.collect(), service: arguments.service, vm: arguments.vm, since };
    Ok(Command::Timeline { filter, follow: arguments.follow })
}
