//! What became of a request.
//!
//! Each admitted request ends in exactly one [`Outcome`]. "Refused" means the request did not run, and it is said only
//! on evidence: [`Evidence`] is what one attempt proves, and [`Outcome`] is built from it.

use bytes::Bytes;
use quick_error::quick_error;

use crate::request::Header;

/// A whole answer of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Header fields that are passed through.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

impl Answer {
    /// Whether the server says that it failed.
    pub fn is_failure(&self) -> bool {
        self.status >= 500
    }
}

quick_error! {
    /// Why a request was not run.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
    pub enum Refusal {
        /// This entry cannot know the operators' intent.
        Fenced { display("fenced") }
        /// This entry is leaving.
        Leaving { display("leaving") }
        /// No configuration is in force yet.
        NotReady { display("not_ready") }
        /// The service is not in the configuration in force.
        UnknownService { display("unknown_service") }
        /// The request breaks a limit or is malformed.
        Invalid { display("invalid_request") }
        /// Too many requests wait for the service.
        QueueFull { display("queue_full") }
        /// No server had room before the deadline.
        Deadline { display("deadline") }
        /// No server of the service may receive work.
        NoServer { display("no_server") }
        /// All attempts were refused, or the retry budget is spent.
        Attempts { display("attempts") }
        /// The entry it was forwarded to had no room.
        Full { display("full") }
        /// This entry holds too many bytes of bodies.
        Memory { display("buffer_full") }
    }
}

quick_error! {
    /// Why it is not known whether a request ran.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
    pub enum UnknownReason {
        /// The connection broke after the request may have left.
        Broken { display("connection_broken") }
        /// No whole answer came before the deadline.
        Timeout { display("timeout") }
        /// The answer was cut, too large, or belongs to another request.
        BadAnswer { display("bad_answer") }
        /// A request with the same id is in flight on this entry, and may run.
        Duplicate { display("duplicate_id") }
    }
}

/// What one attempt proves about the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Evidence {
    /// The server ran the request and this is its whole answer.
    Ran(Answer),
    /// The request did not run.
    NotRun(NotRun),
    /// The request may have run.
    MayHaveRun(UnknownReason),
}

quick_error! {
    /// The proof that an attempt did not run.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
    pub enum NotRun {
        /// No connection could be made, or it closed before the first byte was written.
        NotSent { display("not_sent") }
        /// The server said that it did not run the request.
        Shed { display("shed") }
        /// The entry that holds the server refused before dispatch.
        Refused(reason: Refusal) { display("{}", reason) }
    }
}

impl From<Refusal> for Outcome {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The caller gets the server's whole answer.
    Answered(Answer),
    /// The request did not run.
    Refused(Refusal),
    /// The request may have run.
    Unknown(UnknownReason),
}
