//! Direct choice: every entry sends to any server, after asking a few of them for their load.
//!
//! Work takes tens of milliseconds and a probe a few, while the pace of a server changes several
//! times a second. Only a report of this instant shows which server will answer in time, so an
//! entry asks several servers at the same moment and sends to the best ([`fleet`], [`flow`]).
//! Entries share five limits without a vote, each by its share of the live entries: the rate of
//! cold servers ([`cold`]), the retry budget of a service ([`retries`]), the connections of a server
//! ([`connections`]), the readers of the platform's store ([`feed`]) and the addresses that callers
//! get ([`peers`]).
//!
//! The configuration in force is a [`plan::Plan`]. Nothing here does I/O: servers are reached
//! through [`port::Backend`], and adapters feed [`feed::Feed`] and [`peers::Peers`] with what they
//! receive.

pub mod cold;
pub mod connections;
pub mod feed;
pub mod fleet;
pub mod flow;
pub mod peers;
pub mod plan;
pub mod port;
pub mod probes;
pub mod retries;
pub mod share;
