//! The port to the entries: one question to one entry.
//!
//! Commands are generic over [`Ask`], so that they run against messages in memory as well as over
//! HTTP.

mod http;
pub mod resolver;

use std::future::Future;
use std::io;

use quick_error::quick_error;

use jackdawpin_wire::Explanation;
use jackdawpin_wire::Status;
use jackdawpin_wire::TimelinePage;

pub use self::http::Http;

quick_error! {
    /// Why an entry gave no answer that can be used.
    #[derive(Debug)]
    pub enum Error {
        /// The host has no address.
        Resolve(err: io::Error) {
            source(err)
            display("the host cannot be resolved: {}", err)
        }
        /// The system has no name server, which the HTTP client requires.
        NameServer(problem: String) {
            display(
                "{} {}; the HTTP client requires a line such as \"nameserver 127.0.0.1\", although it is not used",
                resolver::FILE, problem
            )
        }
        /// No answer in time.
        Timeout(millis: u128) {
            display("no answer within {} ms", millis)
        }
        /// The exchange failed.
        Http(message: String) {
            display("{}", message)
        }
        /// The entry refused the question.
        Status(code: u16, message: String) {
            display("status {}: {}", code, message)
        }
        /// The answer is not the expected message.
        Message(err: jackdawpin_wire::Error) {
            from()
            source(err)
            display("{}", err)
        }
        /// The question was given up.
        Stopped {
            display("the question was given up")
        }
    }
}

impl Error {
    /// Whether the entry answered that it does not know what was asked for.
    pub fn is_not_found(&self) -> bool {
        matches!(self, Self::Status(404, _))
    }
}

/// Asks an entry at a control address, `HOST:PORT`.
pub trait Ask: Clone + Send + Sync + 'static {
    /// The entry's view of the fleet.
    fn status(&self, address: &str) -> impl Future<Output = Result<Status, Error>> + Send;

    /// The values in force for a server.
    fn explain(
        &self,
        address: &str,
        service: &str,
        server: &str,
    ) -> impl Future<Output = Result<Explanation, Error>> + Send;

    /// The events after the one with the given number; 0 for all.
    fn timeline(
        &self,
        address: &str,
        after: u64,
    ) -> impl Future<Output = Result<TimelinePage, Error>> + Send;
}
