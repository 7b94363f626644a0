//! The entry on the users' platform.
//!
//! The [`Dispatcher`](jackdawpin_core::direct::dispatch::Dispatcher) of the core makes the
//! decisions. The modules here are adapters around it: [`front`] serves callers; [`directory`]
//! gives them the addresses of entries and answers the platform's readiness checks; [`backend`]
//! sends attempts and probes to servers; [`forward`] passes requests on to other entries and serves theirs; [`store_reader`] reads the platform's store into
//! [`store_replica`], which configures the dispatcher; [`gossip`], [`peer_client`] and [`control`]
//! exchange heartbeats and changes of the store with the other entries; [`reloader`] applies
//! changes of the settings file. The names and formats of the platform come from
//! `jackdawpin-platform`.

mod answer;
mod backend;
mod control;
mod convert;
mod directory;
mod early_signals;
mod error;
mod forward;
mod front;
mod gossip;
mod metrics;
mod notice;
mod own_answer;
mod peer_client;
mod planned_stop;
mod reloader;
mod request_log;
mod run;
mod store_reader;
mod store_replica;
mod suspect_gossip;

use crate::clock::BootClock;
use crate::clock::Random;

pub use self::backend::ServerClient;
pub use self::error::Error;
pub use self::forward::ForwardClient;
pub use self::run::run;

/// The dispatcher with the adapters of this program.
pub type Dispatcher =
    jackdawpin_core::direct::dispatch::Dispatcher<ServerClient, BootClock, Random>;
