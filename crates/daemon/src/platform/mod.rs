//! Reads the documents from the platform's configuration service.
//!
//! The service has a key-value API over HTTP with blocking queries: a read that names the index of
//! the last answer is held until the key changes or a wait passes. [`watch`] keeps one such read
//! pending for each key and gives each value to a [`Sink`], which decides what it means. [`Fetch`]
//! is one read; [`Http`] does it over HTTP.

mod answer;
mod backoff;
mod error;
mod fetch;
mod http;
mod watch;

use std::fmt;

use jackdawpin_core::time::Instant;

pub use self::answer::Answer;
pub use self::answer::MAX_VALUE_BYTES;
pub use self::backoff::Backoff;
pub use self::error::Error;
pub use self::fetch::Fetch;
pub use self::http::Http;
pub use self::http::WAIT;
pub use self::watch::Watch;
pub use self::watch::watch;

/// The documents that the platform publishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Key {
    /// The configuration.
    Config,
    /// The list of VMs.
    Vms,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Key::Config => "config",
            Key::Vms => "vms",
        })
    }
}

/// Receives the results of reads.
pub trait Sink: Send + Sync + 'static {
    /// The platform answered a read sent at `asked` with `value`, which may be the same as before: a
    /// good read shows that the platform is heard.
    fn read(&self, key: Key, value: &[u8], asked: Instant);

    /// A read sent at `asked` failed.
    fn failed(&self, key: Key, error: &Error, asked: Instant);
}
