//! The entry on the users' platform.
//!
//! Adapters around [`Dispatcher`](jackdawpin_core::direct::dispatch::Dispatcher), which decides:
//! the listener for callers ([`front`]), the answers to callers that ask for addresses and to the
//! platform's question whether the entry takes requests ([`directory`]), the connections to servers
//! ([`backend`]), the reading of the platform's store ([`store`]), the exchange between entries
//! ([`exchange`], [`peer_client`], [`control`]) and the settings file ([`reloader`]). All names of
//! the platform come from `jackdawpin-platform`.

mod answer;
mod backend;
mod control;
mod convert;
mod directory;
mod early_signals;
mod error;
mod front;
mod gossip;
mod metrics;
mod peer_client;
mod planned_stop;
mod reloader;
mod request_log;
mod run;
mod store_reader;
mod store_replica;

use crate::clock::BootClock;
use crate::clock::Random;

pub use self::backend::ServerClient;
pub use self::error::Error;
pub use self::run::run;

/// The decisions with the adapters of this program.
pub type Dispatcher =
    jackdawpin_core::direct::dispatch::Dispatcher<ServerClient, BootClock, Random>;
