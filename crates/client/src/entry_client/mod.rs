//! The port to the entries: one request to one entry.
//!
//! Commands are generic over [`EntryClient`], so that they run against messages in memory as well
//! as over HTTP.

mod http;
pub mod resolv_conf;

use std::future::Future;
use std::io;

use quick_error::quick_error;

use jackdawpin_wire::Explanation;
use jackdawpin_wire::Status;
use jackdawpin_wire::TimelinePage;

pub use self::http::HttpClient;

quick_error! {
    /// Why a request got no usable answer from an entry.
    #[derive(Debug)]
    pub enum Error {
        /// The host has no address.
        Resolve(err: io::Error) {
            source(err)
            display("the host cannot be resolved: {}", err)
        }
        /// The system has no name server, and the HTTP client requires one.
        NameServer(problem: String) {
            display(
                "{} {}; the HTTP client requires a line such as \"nameserver 127.0.0.1\", although it is not used",
                resolv_conf::PATH, problem
            )
        }
        /// No answer in time.
        Timeout(millis: u128) {
            display("no answer within {} ms", millis)
        }
        /// The HTTP request failed.
        Http(message: String) {
            display("{}", message)
        }
        /// The entry answered with an error status.
        Status(code: u16, message: String) {
            display("status {}: {}", code, message)
        }
        /// The answer cannot be decoded as the expected message.
        Message(err: jackdawpin_wire::Error) {
            from()
            source(err)
            display("{}", err)
        }
        /// The task of the request panicked or was cancelled.
        Aborted {
            display("the request was aborted")
        }
    }
}

impl Error {
    /// Whether the entry answered that it does not know the requested item.
    pub fn is_not_found(&self) -> bool {
        matches!(self, Self::Status(404, _))
    }
}

/// Sends requests to an entry at a control address, `HOST:PORT`.
pub trait EntryClient: Clone + Send + Sync + 'static {
    /// Requests the entry's status.
    fn status(&self, address: &str) -> impl Future<Output = Result<Status, Error>> + Send;

    /// Requests the values in force for a server.
    fn explain(
        &self,
        address: &str,
        service: &str,
        server: &str,
    ) -> impl Future<Output = Result<Explanation, Error>> + Send;

    /// Requests the events after the one with the number `after`; 0 for all.
    fn timeline(
        &self,
        address: &str,
        after: u64,
    ) -> impl Future<Output = Result<TimelinePage, Error>> + Send;
}
