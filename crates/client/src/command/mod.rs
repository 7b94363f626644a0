//! The commands: each sends requests to the entries, or reads a file, and prints the output of a
//! view.

mod check;
mod explain;
mod status;
mod timeline;
mod top;

use std::io;
use std::io::Write;
use std::time::Duration;

use crate::Exit;
use crate::entry_client::EntryClient;
use crate::fleet;
use crate::fleet::Finding;
use crate::fleet::Fleet;
use crate::settings::Command;
use crate::settings::OutputFormat;
use crate::settings::Settings;

pub use self::check::run as check;

/// Time between two polls of a command that runs until it is stopped.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Settings and outputs, which all commands use.
#[derive(Debug)]
pub struct Context<'a, O, E> {
    /// The settings.
    pub settings: &'a Settings,
    /// Whether the output is a terminal.
    pub is_terminal: bool,
    /// Output of results.
    pub out: &'a mut O,
    /// Output of errors.
    pub errors: &'a mut E,
}

impl<O: Write, E: Write> Context<'_, O, E> {
    async fn discover<C: EntryClient>(&self, client: &C) -> Fleet {
        fleet::discover(client, &self.settings.entries).await
    }

    fn is_json(&self) -> bool {
        self.settings.format == OutputFormat::Json
    }

    /// Prints and flushes, because the next output may come much later.
    fn print(&mut self, text: &str) -> io::Result<()> {
        self.out.write_all(text.as_bytes())?;
        self.out.flush()
    }

    /// Prints the number of unreachable entries, if any, and returns the exit code.
    fn finish(&mut self, fleet: &Fleet, findings: &[Finding]) -> io::Result<Exit> {
        let unreachable = fleet.unreachable.len();
        let all = unreachable + fleet.reachable.len();
        if unreachable > 0 {
            writeln!(self.errors, "jackdawpin: {unreachable} of {all} entries cannot be reached")?;
        }
        Ok(Exit::from_findings(fleet, findings))
    }
}

/// Runs the command of the settings.
///
/// # Errors
///
/// The output cannot be written.
pub async fn run<C: EntryClient, O: Write, E: Write>(
    client: &C,
    context: &mut Context<'_, O, E>,
) -> io::Result<Exit> {
    match &context.settings.command {
        Command::Check { file, document } => check::run(file, document, context),
        Command::Status => status::run(client, context).await,
        Command::Explain { service, server } => {
            explain::run(client, service, server, context).await
        }
        Command::Timeline { filter, follow: false } => timeline::run(client, filter, context).await,
        Command::Timeline { filter, follow: true } => {
            timeline::follow(client, filter, context).await
        }
        Command::Top { once } => top::run(client, *once, context).await,
    }
}
