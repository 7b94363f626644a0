//! Reads the documents from the platform's configuration service.
//!
//! The service has a key-value API over HTTP with blocking queries: a read that names the index of
//! the last answer is held until the key changes or a wait passes. [`watch`] keeps one such read
//! pending for a key and passes each result to a [`Sink`], which interprets it. [`Fetch`] is the
//! port for one read; [`HttpFetcher`] implements it over HTTP.

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
pub use self::http::HttpFetcher;
pub use self::http::READ_WAIT;
pub use self::watch::Watch;
pub use self::watch::watch;

/// The documents that the platform publishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Document {
    /// The configuration.
    Config,
    /// The list of VMs.
    Vms,
}

impl fmt::Display for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Document::Config => "config",
            Document::Vms => "vms",
        })
    }
}

/// Receives the results of reads.
pub trait Sink: Send + Sync + 'static {
    /// The platform answered a read sent at `sent_at` with `value`. The value may be unchanged:
    /// each successful read shows that the platform can be reached.
    fn received(&self, document: Document, value: &[u8], sent_at: Instant);

    /// A read sent at `sent_at` failed.
    fn failed(&self, document: Document, error: &Error, sent_at: Instant);
}
