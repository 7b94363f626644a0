//! What direct choice needs from the outside.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::fleet::LoadReport;
use crate::name;
use crate::outcome::Answer;
use crate::request::Content;
use crate::time::Instant;

/// What came back from one attempt at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The server ran the request and this is its whole answer.
    Ran(Answer),
    /// The server says that it did not run the request.
    Shed,
    /// Another server has the address, and it did not run the request.
    Misdirected,
    /// No byte of the request has left.
    NotSent,
    /// The request may have run; the text says what went wrong, for the log.
    MayHaveRun(&'static str),
}

impl Verdict {
    /// Why a request may have run whose answer did not come in time.
    pub const TIMEOUT: &'static str = "timeout";

    /// The verdict as a word for the log.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Ran(_) => "ran",
            Self::Shed => "shed",
            Self::Misdirected => "misdirected",
            Self::NotSent => "not_sent",
            Self::MayHaveRun(why) => why,
        }
    }
}

/// One attempt.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// The caller's id of the request.
    pub id: &'a str,
    /// The server that must run it; any other one refuses.
    pub server: &'a name::Vm,
    /// Address of the server.
    pub address: SocketAddr,
    /// What the server sees.
    pub content: &'a Content,
    /// When the server must have answered.
    pub deadline: Instant,
}

/// The answer to a probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeAnswer {
    /// The server that answered, if it says so.
    pub server: Option<name::Vm>,
    /// Whether the server says that it is healthy and stays.
    pub healthy: bool,
    /// Its load.
    pub report: LoadReport,
}

/// Reaches servers.
pub trait Backend: Send + Sync + 'static {
    /// Sends one attempt and waits for its whole answer, at most until its deadline. Dropping the
    /// future closes the connection.
    fn send(&self, attempt: Attempt<'_>) -> impl Future<Output = Verdict> + Send;

    /// Keeps at most `most` unused connections to each server from now on.
    fn set_max_idle(&self, most: usize);

    /// Asks the server at `address` for its load. `None` if it gives no answer within `timeout`.
    fn probe(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> impl Future<Output = Option<ProbeAnswer>> + Send;
}
