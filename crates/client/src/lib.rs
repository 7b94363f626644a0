//! The operators' client.
//!
//! `settings` turns arguments into checked settings. `ask` is the port to the entries, with an
//! adapter that speaks HTTP to their control listeners. `fleet` collects the answers of all entries
//! and finds what is wrong with them. Each module of `command` carries out one command, and `view`
//! turns messages into text with pure functions.

pub mod ask;
pub mod command;
mod exit;
pub mod fleet;
pub mod settings;
pub mod view;

use std::ffi::OsString;
use std::io;
use std::io::Write;

use tokio::runtime::Builder;

use self::ask::Http;
use self::command::Context;
use self::settings::Command;
use self::settings::Request;
use self::settings::Settings;

pub use self::exit::Exit;

/// What the process was started with.
#[derive(Debug, Clone, Default)]
pub struct Surroundings {
    /// The arguments, without the name of the program.
    pub words: Vec<OsString>,
    /// Value of the environment variable `JACKDAWPIN_ENTRIES`.
    pub entries: Option<OsString>,
    /// Whether the output is a terminal.
    pub terminal: bool,
}

/// Runs the client and returns its exit code. Results go to `out`, errors to `errors`.
pub fn run(surroundings: Surroundings, out: &mut impl Write, errors: &mut impl Write) -> Exit {
    let terminal = surroundings.terminal;
    let result = match settings::read(surroundings) {
        Ok(Request::Print(text)) => write!(out, "{text}").map(|()| Exit::Fine),
        Ok(Request::Run(settings)) => start(&settings, terminal, out, errors),
        Err(error) => writeln!(errors, "jackdawpin: {error}").map(|()| Exit::Usage),
    };
    match result.and_then(|exit| out.flush().map(|()| exit)) {
        Ok(exit) => exit,
        // Whoever read the output has seen enough, such as `head`.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Exit::Fine,
        Err(error) => {
            // There is no other place to report that errors cannot be written.
            let _ = writeln!(errors, "jackdawpin: the output cannot be written: {error}");
            Exit::Failed
        }
    }
}

fn start(
    settings: &Settings,
    terminal: bool,
    out: &mut impl Write,
    errors: &mut impl Write,
) -> io::Result<Exit> {
    let mut context = Context { settings, terminal, out, errors };
    // A check asks no entry, so it must not need a client.
    if let Command::Check { file, document } = &settings.command {
        return command::check(file, document, &mut context);
    }
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        match Http::new(settings.timeout) {
            Ok(ask) => command::run(&ask, &mut context).await,
            Err(error) => {
                writeln!(context.errors, "jackdawpin: {error}")?;
                Ok(Exit::Unreachable)
            }
        }
    })
}
