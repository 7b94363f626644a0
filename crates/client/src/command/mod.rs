//! The commands: each asks the entries, or reads a file, and prints what a view makes of it.

mod check;
mod explain;
mod status;
mod timeline;
mod top;

use std::io;
use std::io::Write;
use std::time::Duration;

use crate::Exit;
use crate::ask::Ask;
use crate::fleet;
use crate::fleet::Finding;
use crate::fleet::Fleet;
use crate::settings::Command;
use crate::settings::Format;
use crate::settings::Settings;

pub use self::check::run as check;

/// Time between two views or polls of a command that goes on.
const INTERVAL: Duration = Duration::from_secs(1);

/// What all commands use.
#[derive(Debug)]
pub struct Context<'a, O, E> {
    /// The settings.
    pub settings: &'a Settings,
    /// Whether the output is a terminal.
    pub terminal: bool,
    /// Where results go.
    pub out: &'a mut O,
    /// Where errors go.
    pub errors: &'a mut E,
}

impl<O: Write, E: Write> Context<'_, O, E> {
    async fn gather<A: Ask>(&self, ask: &A) -> Fleet {
        fleet::gather(ask, &self.settings.entries).await
    }

    fn is_json(&self) -> bool {
        self.settings.format == Format::Json
    }

    /// Prints at once, also where nothing may follow for a while.
    fn print(&mut self, text: &str) -> io::Result<()> {
        self.out.write_all(text.as_bytes())?;
        self.out.flush()
    }

    /// Reports entries that gave no answer and returns the exit code.
    fn finish(&mut self, fleet: &Fleet, findings: &[Finding]) -> io::Result<Exit> {
        let lost = fleet.unreachable.len();
        let all = lost + fleet.members.len();
        if lost > 0 {
            writeln!(self.errors, "jackdawpin: {lost} of {all} entries cannot be reached")?;
        }
        Ok(Exit::of(fleet, findings))
    }
}

/// Runs the command of the settings.
///
/// # Errors
///
/// The output cannot be written.
pub async fn run<A: Ask, O: Write, E: Write>(
    ask: &A,
    context: &mut Context<'_, O, E>,
) -> io::Result<Exit> {
    match &context.settings.command {
        Command::Check { file, document } => check::run(file, document, context),
        Command::Status => status::run(ask, context).await,
        Command::Explain { service, server } => explain::run(ask, service, server, context).await,
        Command::Timeline { filter, follow: false } => timeline::run(ask, filter, context).await,
        Command::Timeline { filter, follow: true } => timeline::follow(ask, filter, context).await,
        Command::Top { once } => top::run(ask, *once, context).await,
    }
}
