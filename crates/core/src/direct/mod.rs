//! Direct choice: every entry sends to any server, after asking a few of them for their load.
//!
//! Work takes tens of milliseconds and a probe a few, while the pace of a server changes several
//! times a second. Only a report of this instant shows which server will answer in time, so an
//! entry asks several servers at the same moment and sends to the best ([`fleet`], [`dispatch`]).
//! Entries share five limits without a vote, each by its share of the live entries: the rate of
//! cold servers ([`cold`]), the retry budget of a service ([`retries`]), the connections of a server
//! ([`connections`]), the readers of the platform's store ([`replica`]) and the addresses that callers
//! get ([`peers`]).
//!
//! The configuration in force is a [`config::Config`]. Nothing here does I/O: servers are reached
//! through [`port::Backend`], and adapters feed [`replica::Replica`] and [`peers::Peers`] with what they
//! receive.

pub mod cold;
pub mod config;
pub mod connections;
pub mod dispatch;
pub mod fleet;
pub mod peers;
pub mod port;
pub mod probes;
pub mod rendezvous;
pub mod replica;
pub mod retries;
