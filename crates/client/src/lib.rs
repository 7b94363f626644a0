//! The operators' client.
//!
//! `settings` parses arguments into checked settings. `entry_client` is the port to the entries,
//! with an adapter that sends HTTP requests to their control listeners. `fleet` collects the
//! answers of all entries and finds their problems. Each module of `command` runs one command, and
//! `view` formats messages as text with pure functions.

pub mod command;
pub mod entry_client;
mod exit;
pub mod fleet;
pub mod settings;
pub mod view;

use std::ffi::OsString;
use std::io;
use std::io::Write;

use tokio::runtime::Builder;

use self::command::Context;
use self::entry_client::HttpClient;
use self::settings::Action;
use self::settings::Command;
use self::settings::Settings;

pub use self::exit::Exit;

/// Arguments and environment of the process.
#[derive(Debug, Clone, Default)]
pub struct Invocation {
    /// The arguments, without the name of the program.
    pub arguments: Vec<OsString>,
    /// Value of the environment variable `JACKDAWPIN_ENTRIES`.
    pub entries_variable: Option<OsString>,
    /// Whether the output is a terminal.
    pub is_terminal: bool,
}

/// Runs the client and returns its exit code. Writes results to `out` and errors to `errors`.
pub fn run(invocation: Invocation, out: &mut impl Write, errors: &mut impl Write) -> Exit {
    let is_terminal = invocation.is_terminal;
    let result = match settings::parse(invocation) {
        Ok(Action::Print(text)) => write!(out, "{text}").map(|()| Exit::Success),
        Ok(Action::Run(settings)) => run_command(&settings, is_terminal, out, errors),
        Err(error) => writeln!(errors, "jackdawpin: {error}").map(|()| Exit::Usage),
    };
    match result.and_then(|exit| out.flush().map(|()| exit)) {
        Ok(exit) => exit,
        // The reader of the output, such as `head`, closed the pipe because it needs no more.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Exit::Success,
        Err(error) => {
            // If errors cannot be written either, there is nowhere to report it.
            let _ = writeln!(errors, "jackdawpin: the output cannot be written: {error}");
            Exit::Failed
        }
    }
}

fn run_command(
    settings: &Settings,
    is_terminal: bool,
    out: &mut impl Write,
    errors: &mut impl Write,
) -> io::Result<Exit> {
    let mut context = Context { settings, is_terminal, out, errors };
    // A check sends no request to an entry, so it must not require an HTTP client.
    if let Command::Check { file, document } = &settings.command {
        return command::check(file, document, &mut context);
    }
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        match HttpClient::new(settings.timeout) {
            Ok(client) => command::run(&client, &mut context).await,
            Err(error) => {
                writeln!(context.errors, "jackdawpin: {error}")?;
                Ok(Exit::Unreachable)
            }
        }
    })
}
