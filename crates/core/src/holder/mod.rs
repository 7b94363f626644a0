//! Server selection through holders: each server is held by one entry, and only that entry sends
//! requests to it.
//!
//! All entries compute the same ranking of entries for each server ([`rank`]) from the same VM list
//! ([`member`]); the first available entry in the ranking holds the server. The holder knows
//! exactly what is in flight ([`pool`]), which keeps a server within its slots even if the server
//! does not refuse work by itself. Other entries forward requests to the holder ([`flow`]). Until a
//! server is known to be warm, its holder also needs the promises of witnesses ([`lease`]). The
//! configuration and the VM list come into force in the same order on all entries ([`intent`],
//! [`config`]). [`control`] runs the background tasks.
//!
//! The product's own interface uses this scheme. The entry on the users' platform selects servers
//! directly ([`crate::direct`]).

pub mod config;
pub mod control;
pub mod event;
pub mod flow;
pub mod gate;
pub mod intent;
pub mod lease;
pub mod ledger;
pub mod member;
pub mod pool;
pub mod port;
pub mod probe;
pub mod rank;
pub mod retry;
