//! The daemon that runs on each entry VM.
//!
//! Its modules are adapters: they translate messages, settings and system calls into calls of
//! `jackdawpin-core`, and results into messages. All decisions are made in `jackdawpin-core`.

pub mod adapters;
pub mod clock;
pub mod control;
pub mod exchange;
pub mod front;
pub mod gateway;
pub mod headers;
pub mod listen;
pub mod logs;
pub mod metrics;
pub mod parser;
pub mod peer;
pub mod platform;
pub mod query;
mod run;
pub mod settings;
pub mod stop;
pub mod stream;
pub mod telemetry;
pub mod traffic;
pub mod upstream;

pub use self::run::run;
