//! Reads the settings, starts the log and runs the daemon.

use std::fmt::Display;
use std::io;
use std::io::Write;
use std::process::ExitCode;

use jackdawpin_daemon::logs;
use jackdawpin_daemon::settings::Command;
use jackdawpin_daemon::settings::EXIT_INVALID;
use jackdawpin_daemon::settings::Help;
use jackdawpin_daemon::settings::Settings;

/// First argument that runs the entry on the users' platform.
const GATEWAY: &str = "gateway";

fn main() -> ExitCode {
    // Arguments that are not UTF-8 are kept with replacement characters and fail the checks.
    let arguments: Vec<String> =
        std::env::args_os().skip(1).map(|a| a.to_string_lossy().into_owned()).collect();
    if arguments.first().is_some_and(|first| first == GATEWAY) {
        return jackdawpin_daemon::gateway::run(|name| std::env::var_os(name));
    }
    let variable =
        |name: &str| std::env::var_os(name).map(|value| value.to_string_lossy().into_owned());
    match Command::read(&arguments, variable) {
        Ok(Command::Help) => say(io::stdout(), Help),
        Ok(Command::Version) => {
            say(io::stdout(), concat!("jackdawpind ", env!("CARGO_PKG_VERSION")))
        }
        Ok(Command::Check(_)) => say(io::stdout(), "the settings are valid"),
        Ok(Command::Run(settings)) => return run(settings),
        Err(problems) => {
            say(io::stderr(), problems);
            return ExitCode::from(EXIT_INVALID);
        }
    }
    ExitCode::SUCCESS
}

fn run(settings: Settings) -> ExitCode {
    // The writer lives until the daemon has ended, so that its last lines are written.
    let _writer = match logs::start(settings.log, &settings.vm) {
        Ok(writer) => writer,
        Err(error) => {
            say(io::stderr(), error);
            return ExitCode::FAILURE;
        }
    };
    jackdawpin_daemon::run(settings)
}

/// Writes one message. A reader that has left, such as a pager, is no fault of the program.
fn say(mut output: impl Write, message: impl Display) {
    let _ = writeln!(output, "{message}");
}
