//! Queries all entries and combines their answers.
//!
//! The status of an entry names the other entries, so one reachable address is enough to find all.
//! [`Discovery`] selects the endpoints to query next and collects the answers. An entry that is
//! known by several addresses counts once, and an entry that does not answer is listed as
//! unreachable. [`findings`] reports the problems of the entries that answered.

mod discovery;
mod finding;
mod service_summary;
mod timeline;

use tokio::task::JoinHandle;

use crate::entry_client::EntryClient;
use crate::entry_client::Error;
use jackdawpin_wire::Status;

pub use self::discovery::Discovery;
pub use self::discovery::Endpoint;
pub use self::finding::Finding;
pub use self::finding::findings;
pub use self::finding::holder_disagreement;
pub use self::service_summary::ServiceSummary;
pub use self::service_summary::service_summaries;
pub use self::timeline::Cursor;
pub use self::timeline::DroppedEvents;
pub use self::timeline::EventMatcher;
pub use self::timeline::TimelineEvent;
pub use self::timeline::TimelineMerger;

/// Largest number of requests in flight.
const MAX_PARALLEL_REQUESTS: usize = 32;

/// An entry that answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReachableEntry {
    /// The control address from which it answered.
    pub address: String,
    /// Its status.
    pub status: Status,
}

/// An entry that did not answer a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnreachableEntry {
    /// Name of the VM, if another entry's status gives it.
    pub vm: Option<String>,
    /// Its control address.
    pub address: String,
    /// Why the request failed.
    pub reason: String,
}

/// All entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fleet {
    /// The entries that answered, sorted by name.
    pub reachable: Vec<ReachableEntry>,
    /// The entries that did not, sorted.
    pub unreachable: Vec<UnreachableEntry>,
}

impl Fleet {
    /// The endpoints of the entries that answered.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        let endpoint = |entry: &ReachableEntry| Endpoint {
            vm: Some(entry.status.vm.clone()),
            address: entry.address.clone(),
        };
        self.reachable.iter().map(endpoint).collect()
    }

    /// Adds an entry that did not answer a request.
    pub fn add_unreachable(&mut self, endpoint: Endpoint, error: &Error) {
        let Endpoint { vm, address } = endpoint;
        self.unreachable.push(UnreachableEntry { vm, address, reason: error.to_string() });
        self.unreachable.sort();
    }
}

/// Requests the status of all entries: those at the `seeds` addresses and those that their status
/// names.
pub async fn discover<C: EntryClient>(client: &C, seeds: &[String]) -> Fleet {
    let mut discovery = Discovery::new(seeds);
    loop {
        let endpoints = discovery.next_endpoints(MAX_PARALLEL_REQUESTS);
        if endpoints.is_empty() {
            return discovery.into_fleet();
        }
        let request =
            |client: C, endpoint: Endpoint| async move { client.status(&endpoint.address).await };
        for (endpoint, answer) in request_all(client, endpoints, request).await {
            match answer {
                Ok(status) => discovery.record_status(endpoint, status),
                Err(error) => discovery.record_failure(endpoint, &error),
            }
        }
    }
}

/// Sends a request to each endpoint, up to [`MAX_PARALLEL_REQUESTS`] in parallel, and returns the
/// answers in the order of the endpoints.
pub async fn request_all<C, T, F, Q>(
    client: &C,
    endpoints: Vec<Endpoint>,
    request: Q,
) -> Vec<(Endpoint, Result<T, Error>)>
where
    C: EntryClient,
    T: Send + 'static,
    F: Future<Output = Result<T, Error>> + Send + 'static,
    Q: Fn(C, Endpoint) -> F,
{
    let mut answers = Vec::with_capacity(endpoints.len());
    let mut endpoints = endpoints.into_iter().peekable();
    while endpoints.peek().is_some() {
        let batch = endpoints.by_ref().take(MAX_PARALLEL_REQUESTS);
        let pending: Vec<(Endpoint, JoinHandle<_>)> = batch
            .map(|endpoint| {
                let task = tokio::spawn(request(client.clone(), endpoint.clone()));
                (endpoint, task)
            })
            .collect();
        for (endpoint, task) in pending {
            answers.push((endpoint, task.await.unwrap_or(Err(Error::Aborted))));
        }
    }
    answers
}
