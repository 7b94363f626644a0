//! Holder choice: each server is held by one entry, which alone sends to it.
//!
//! The entries order themselves for each server ([`rank`]) by the same list of VMs ([`member`]), and the first one that is
//! available holds it. The holder counts exactly what is in flight ([`pool`]), which keeps a server within its slots even
//! if it does not refuse work by itself; other entries forward requests to it ([`flow`]). While it is not known that a
//! server is warm, its holder also needs the promises of witnesses ([`lease`]). Documents of the operators and the platform
//! come into force in one order everywhere ([`intent`], [`config`]); [`control`] runs all that serves no request.
//!
//! This is the choice of the product's own interface. The entry on the users' platform chooses directly
//! ([`crate::direct`]).

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
