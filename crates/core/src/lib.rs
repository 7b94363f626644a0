//! The decisions of jackdawpin, without I/O.
//!
//! There are two ways to choose the server of a request: [`direct`], on the users' platform, and
//! [`holder`], on the product's own interface. They share names, requests, outcomes, time and
//! locks.
//!
//! Everything here is a function of its inputs and of a few ports: a clock, a source of random
//! numbers, a way to send an attempt to a server or to another entry, and a journal of events.
//! Adapters in the daemon implement the ports over HTTP; tests implement them in memory.
//!
//! State is kept in shared tables that any worker may use. Each table has a rank, locks are only
//! taken in increasing rank (see [`lock`]), and no lock is held while a future waits.

pub mod direct;
pub mod holder;
pub mod lock;
pub mod name;
pub mod outcome;
pub mod port;
pub mod request;
pub mod time;
