//! The operators' client: settings from the environment, output to the terminal.

use std::env;
use std::io;
use std::io::IsTerminal;
use std::process::ExitCode;

use jackdawpin_client::Surroundings;

fn main() -> ExitCode {
    let surroundings = Surroundings {
        words: env::args_os().skip(1).collect(),
        entries: env::var_os("JACKDAWPIN_ENTRIES"),
        terminal: io::stdout().is_terminal(),
    };
    jackdawpin_client::run(surroundings, &mut io::stdout().lock(), &mut io::stderr().lock()).into()
}
