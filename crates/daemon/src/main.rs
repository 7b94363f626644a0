//! Reads the settings and runs the daemon.

use std::process::ExitCode;

use jackdawpin_daemon::settings::Command;
use jackdawpin_daemon::settings::EXIT_INVALID;
use jackdawpin_daemon::settings::Help;

fn main() -> ExitCode {
    // Arguments that are not UTF-8 are kept with replacement characters and fail the checks.
    let arguments: Vec<String> =
        std::env::args_os().skip(1).map(|a| a.to_string_lossy().into_owned()).collect();
    let variable =
        |name: &str| std::env::var_os(name).map(|value| value.to_string_lossy().into_owned());
    match Command::read(&arguments, variable) {
        Ok(Command::Help) => print!("{Help}"),
        Ok(Command::Version) => println!("jackdawpind {}", env!("CARGO_PKG_VERSION")),
        Ok(Command::Check(_)) => println!("the settings are valid"),
        Ok(Command::Run(settings)) => return jackdawpin_daemon::run(settings),
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::from(EXIT_INVALID);
        }
    }
    ExitCode::SUCCESS
}
