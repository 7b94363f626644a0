//! The command `jackdawpind`: reads the settings, starts the log and runs the daemon.

use std::fmt::Display;
use std::io;
use std::io::Write;
use std::process::ExitCode;

use jackdawpin_daemon::logs;
use jackdawpin_daemon::settings::Command;
use jackdawpin_daemon::settings::EXIT_INVALID;
use jackdawpin_daemon::settings::Help;
use jackdawpin_daemon::settings::Settings;

/// First argument that starts the gateway: the entry on the users' platform.
const GATEWAY_COMMAND: &str = "gateway";

fn main() -> ExitCode {
    // Arguments that are not UTF-8 get replacement characters and fail the checks of the settings.
    let arguments: Vec<String> =
        std::env::args_os().skip(1).map(|a| a.to_string_lossy().into_owned()).collect();
    if arguments.first().is_some_and(|first| first == GATEWAY_COMMAND) {
        return jackdawpin_daemon::gateway::run(|name| std::env::var_os(name));
    }
    let environment =
        |name: &str| std::env::var_os(name).map(|value| value.to_string_lossy().into_owned());
    match Command::read(&arguments, environment) {
        Ok(Command::Help) => print(io::stdout(), Help),
        Ok(Command::Version) => {
            print(io::stdout(), concat!("jackdawpind ", env!("CARGO_PKG_VERSION")))
        }
        Ok(Command::Check(_)) => print(io::stdout(), "the settings are valid"),
        Ok(Command::Run(settings)) => return run(settings),
        Err(problems) => {
            print(io::stderr(), problems);
            return ExitCode::from(EXIT_INVALID);
        }
    }
    ExitCode::SUCCESS
}

fn run(settings: Settings) -> ExitCode {
    // The log writer is kept until the daemon has ended, so that the last lines are written.
    let _writer = match logs::start(settings.log, &settings.vm) {
        Ok(writer) => writer,
        Err(error) => {
            print(io::stderr(), error);
            return ExitCode::FAILURE;
        }
    };
    jackdawpin_daemon::run(settings)
}

/// Writes one message. A failed write is ignored, because the reader, such as a pager, may have
/// closed the output.
fn print(mut output: impl Write, message: impl Display) {
    let _ = writeln!(output, "{message}");
}
