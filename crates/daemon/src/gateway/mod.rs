//! The entry on the users' platform.
//!
//! Adapters around [`Flow`](jackdawpin_core::direct::dispatch::Dispatcher), which decides: the
//! listener for callers ([`front`]), the answers to callers that ask for addresses and to the
//! platform's question whether the entry takes requests ([`directory`]), the connections to servers
//! ([`backend`]), the reading of the platform's store ([`store`]), the exchange between entries
//! ([`exchange`], [`feeds`], [`control`]) and the settings file ([`reload`]). All names of the
//! platform come from `jackdawpin-platform`.

mod answer;
mod backend;
mod control;
mod convert;
mod directory;
mod early;
mod error;
mod exchange;
mod feeder;
mod feeds;
mod front;
mod journal;
mod metrics;
mod reload;
mod run;
mod stop;
mod store;

use crate::clock::BootClock;
use crate::clock::Random;

pub use self::backend::ServerClient;
pub use self::error::Error;
pub use self::run::run;

/// The decisions with the adapters of this program.
pub type Flow = jackdawpin_core::direct::dispatch::Dispatcher<ServerClient, BootClock, Random>;
