//! The decisions of jackdawpin, without I/O.
//!
//! Everything here is a function of its inputs and of a few ports: a clock, a source of random numbers, a way to
//! send an attempt to a server or to another entry, and a journal of events. Adapters in the daemon implement the
//! ports over HTTP; tests implement them in memory.
//!
//! State sits in shared tables that any worker may use. Each table has a rank, locks are only taken in increasing
//! rank (see [`lock`]), and no lock is held while a future waits.

pub mod config;
pub mod control;
pub mod direct;
pub mod event;
pub mod flow;
pub mod gate;
pub mod intent;
pub mod lease;
pub mod ledger;
pub mod lock;
pub mod member;
pub mod name;
pub mod outcome;
pub mod pool;
pub mod port;
pub mod probe;
pub mod rank;
pub mod request;
pub mod retry;
pub mod time;
