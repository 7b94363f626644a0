//! Direct choice: every entry may send to any server, after probing a few of them for their load.
//!
//! Work takes tens of milliseconds and a probe a few, while the slowdown of a server changes
//! several times a second. Only a load report of this moment shows which server will answer in
//! time, so an entry probes several servers at once and sends the request to the best ([`fleet`],
//! [`dispatch`]).
//!
//! An entry that has lost its links to the servers of a service passes requests on to entries that
//! reach them ([`forward`]).
//!
//! What other entries send at the same moment is estimated ([`contention`]). Changes of the
//! platform's store reach all entries down trees ([`spread`]).
//!
//! Entries share six limits without coordination, each by its share of the live entries: the rate
//! of cold servers ([`cold`]), the rate limits that servers name ([`rate_limit`]), the retry budget
//! of a service ([`retries`]), the connections of a server ([`connections`]), the readers of the platform's store ([`replica`]) and the addresses
//! that callers get ([`peers`]).
//!
//! The configuration in force is a [`config::Config`]. Nothing here does I/O: servers are reached
//! through [`port::Backend`], and adapters give what they receive to [`replica::Replica`] and
//! [`peers::Peers`].

pub mod cold;
pub mod config;
pub mod connections;
pub mod contention;
pub mod dispatch;
pub mod fleet;
pub mod forward;
pub mod freshness;
pub mod peers;
pub mod port;
pub mod probes;
pub mod rate_limit;
pub mod rendezvous;
pub mod replica;
pub mod retries;
pub mod spread;
pub mod suspects;
