//! The daemon that runs on each entry VM.
//!
//! Its modules are adapters: each one turns messages, settings or system calls into calls of
//! `jackdawpin-core`, and results into messages. Decisions are made in `jackdawpin-core` only.

pub mod clock;
pub mod listen;
pub mod logs;
pub mod metrics;
pub mod platform;
pub mod settings;
pub mod stop;

use std::process::ExitCode;

use crate::settings::Settings;

/// Runs the daemon until it is told to stop.
pub fn run(_: &Settings) -> ExitCode {
    log::info!("nothing to run yet");
    ExitCode::SUCCESS
}
