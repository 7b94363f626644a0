//! Program of the operators' client: passes on arguments, environment and standard streams.

use std::env;
use std::io;
use std::io::IsTerminal;
use std::process::ExitCode;

use jackdawpin_client::Invocation;

fn main() -> ExitCode {
    let invocation = Invocation {
        arguments: env::args_os().skip(1).collect(),
        entries_variable: env::var_os("JACKDAWPIN_ENTRIES"),
        is_terminal: io::stdout().is_terminal(),
    };
    jackdawpin_client::run(invocation, &mut io::stdout().lock(), &mut io::stderr().lock()).into()
}
