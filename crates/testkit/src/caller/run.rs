use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use parking_lot::Mutex;
use quick_error::quick_error;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Addresses;
use super::Arrivals;
use super::Options;
use super::Plan;
use super::PlannedRequest;
use super::Record;
use super::classify;
use crate::http::Error as ExchangeError;
use crate::http::FullResponse;
use crate::http::Pool;
use crate::http::REQUEST_ID_HEADER;
use crate::http::TIMEOUT_HEADER;
use crate::http::fetch;

/// Addresses that a request tries to connect to before it gives up.
const MAX_CONNECT_ATTEMPTS: usize = 3;
/// Time beyond the timeout of a request after which the load generator stops waiting for its
/// answer.
const RESPONSE_GRACE: Duration = Duration::from_secs(1);
/// Time for an entry to answer an address lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed address lookup, and shortest time for which an answer is used.
const MIN_LOOKUP_INTERVAL: Duration = Duration::from_millis(100);
/// Failed address lookups after which a run is aborted before its start.
const MAX_INITIAL_LOOKUPS: usize = 20;

quick_error! {
    /// Why a run could not start.
    #[derive(Debug)]
    pub enum Error {
        /// No entry answered the address lookup with at least one address.
        NoAddresses(service: String) {
            display("no entry gave addresses for service {}", service)
        }
        /// The caller was given no target.
        NoTarget {
            display("there is no entry and no server to send to")
        }
    }
}

/// Where requests are sent.
#[derive(Debug, Clone)]
pub enum Target {
    /// To the addresses that entries answer for a service.
    Entries {
        /// Entries for the first address lookup, and for later ones if the current entry doesn't
        /// answer.
        initial: Vec<SocketAddr>,
        /// Name of the service.
        service: String,
    },
    /// Directly to servers, for comparison.
    Servers(Vec<SocketAddr>),
}

/// A target and its current addresses.
struct ResolvedTarget {
    direct: bool,
    path_prefix: String,
    addresses: Mutex<Addresses>,
}

impl ResolvedTarget {
    fn new(target: &Target) -> Self {
        match target {
            Target::Entries { initial, service } => Self {
                direct: false,
                path_prefix: format!("/v1/call/{service}"),
                addresses: Mutex::new(Addresses::with_equal_weights(initial)),
            },
            Target::Servers(servers) => Self {
                direct: true,
                path_prefix: String::new(),
                addresses: Mutex::new(Addresses::with_equal_weights(servers)),
            },
        }
    }
}

struct Shared {
    options: Options,
    resolved_targets: Vec<ResolvedTarget>,
    pool: Pool,
    // Order of locks: `plan`, then `rng`, then a target's addresses, then `records`; none is held
    // across an await.
    plan: Mutex<Plan>,
    rng: Mutex<fastrand::Rng>,
    records: Mutex<Vec<Record>>,
    start: Instant,
}

/// Sends the load to one or more targets in turn.
pub struct Caller {
    shared: Arc<Shared>,
    refresh_cancel: CancellationToken,
}

impl Caller {
    /// Looks up addresses and prepares a run; its time starts now.
    ///
    /// # Errors
    ///
    /// There is no target, or no entry of a target answers with addresses in several lookups.
    pub async fn new(options: Options, targets: &[Target]) -> Result<Self, Error> {
        if targets.is_empty() {
            return Err(Error::NoTarget);
        }
        let resolved_targets: Vec<ResolvedTarget> =
            targets.iter().map(ResolvedTarget::new).collect();
        for (resolved, target) in resolved_targets.iter().zip(targets) {
            if let Target::Entries { initial, service } = target {
                let addresses = look_up_initial_addresses(initial, service).await;
                *resolved.addresses.lock() =
                    addresses.ok_or_else(|| Error::NoAddresses(service.clone()))?;
            }
        }
        let shared = Arc::new(Shared {
            plan: Mutex::new(Plan::new(&options)),
            rng: Mutex::new(fastrand::Rng::with_seed(options.seed.wrapping_add(1))),
            records: Mutex::default(),
            pool: Pool::default(),
            start: Instant::now(),
            options,
            resolved_targets,
        });
        let refresh_cancel = CancellationToken::new();
        for (target_index, target) in targets.iter().enumerate() {
            if let Target::Entries { initial, service } = target {
                tokio::spawn(refresh_addresses(
                    Arc::clone(&shared),
                    target_index,
                    initial.clone(),
                    service.clone(),
                    refresh_cancel.clone(),
                ));
            }
        }
        Ok(Self { shared, refresh_cancel })
    }

    /// Time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.shared.start.elapsed()
    }

    /// Sends the load, waits until all requests have ended and returns the records in the order of
    /// their ends.
    ///
    /// Cancelling `cancel` stops the sending early.
    pub async fn run(self, cancel: &CancellationToken) -> Vec<Record> {
        let end = self.shared.start + self.shared.options.duration;
        let sending = async {
            match self.shared.options.arrivals {
                Arrivals::Open(rate) => open_loop(&self.shared, rate, end, cancel).await,
                Arrivals::Closed(workers) => closed_loop(&self.shared, workers, end, cancel).await,
            }
        };
        sending.await;
        self.refresh_cancel.cancel();
        std::mem::take(&mut *self.shared.records.lock())
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.refresh_cancel.cancel();
    }
}

async fn open_loop(shared: &Arc<Shared>, rate: f64, end: Instant, cancel: &CancellationToken) {
    let tasks = TaskTracker::new();
    let permits = Arc::new(Semaphore::new(shared.options.max_in_flight));
    loop {
        let (arrival, planned) = {
            let mut plan = shared.plan.lock();
            (shared.start + plan.next_arrival(rate), plan.next_request())
        };
        let Some(planned) = planned.filter(|_| arrival < end) else { break };
        if cancel.run_until_cancelled(tokio::time::sleep_until(arrival)).await.is_none() {
            break;
        }
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { break };
        let shared = Arc::clone(shared);
        tasks.spawn(async move {
            shared.send(planned, arrival).await;
            drop(permit);
        });
    }
    tasks.close();
    tasks.wait().await;
}

async fn closed_loop(
    shared: &Arc<Shared>,
    workers: usize,
    end: Instant,
    cancel: &CancellationToken,
) {
    let tasks = TaskTracker::new();
    for _ in 0..workers {
        let shared = Arc::clone(shared);
        let cancel = cancel.clone();
        tasks.spawn(async move {
            while Instant::now() < end && !cancel.is_cancelled() {
                let next = shared.plan.lock().next_request();
                let Some(planned) = next else { return };
                shared.send(planned, Instant::now()).await;
            }
        });
    }
    tasks.close();
    tasks.wait().await;
}

impl Shared {
    async fn send(&self, planned: PlannedRequest, scheduled_at: Instant) {
        let late = scheduled_at.elapsed();
        let target =
            usize::try_from(planned.number % self.resolved_targets.len() as u64).unwrap_or(0);
        let resolved = &self.resolved_targets[target];
        let mut tried = Vec::new();
        let result = loop {
            let picked = resolved.addresses.lock().pick(&tried, &mut self.rng.lock());
            let Some(address) = picked else { return };
            let result = self.send_to(resolved, address, &planned).await;
            match result {
                // Nothing was sent, so the request may be sent to another address.
                Err(ExchangeError::Connect(..)) if tried.len() + 1 < MAX_CONNECT_ATTEMPTS => {
                    tried.push(address);
                }
                result => break result,
            }
        };
        let classification = classify(&result, &planned.id, resolved.direct);
        let record = Record {
            id: planned.id,
            idempotent: planned.idempotent,
            target,
            at: scheduled_at.saturating_duration_since(self.start),
            latency: scheduled_at.elapsed(),
            late,
            class: classification.class,
            reason: classification.reason,
            status: classification.status,
            moves: u32::try_from(tried.len()).unwrap_or(u32::MAX),
        };
        self.records.lock().push(record);
    }

    async fn send_to(
        &self,
        resolved: &ResolvedTarget,
        address: SocketAddr,
        planned: &PlannedRequest,
    ) -> Result<FullResponse, ExchangeError> {
        let (method, body_bytes) =
            if planned.idempotent { ("GET", 0) } else { ("POST", self.options.body_bytes) };
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{}", resolved.path_prefix, self.options.path))
            .header(header::HOST, address.to_string())
            .header(REQUEST_ID_HEADER, &planned.id)
            .header(TIMEOUT_HEADER, self.options.timeout.as_millis().to_string())
            .body(Full::new(Bytes::from(vec![b'x'; body_bytes])))?;
        let timeout = self.options.timeout + RESPONSE_GRACE;
        match tokio::time::timeout(timeout, self.pool.send(address, request)).await {
            Ok(result) => result,
            Err(_) => Err(ExchangeError::Timeout(address)),
        }
    }
}

async fn look_up_initial_addresses(initial: &[SocketAddr], service: &str) -> Option<Addresses> {
    for lookup in 0..MAX_INITIAL_LOOKUPS {
        let address = initial.get(lookup % initial.len().max(1))?;
        if let Some(addresses) = look_up_addresses(*address, service).await {
            return Some(addresses);
        }
        tokio::time::sleep(MIN_LOOKUP_INTERVAL).await;
    }
    None
}

/// Replaces the addresses shortly before their time to live ends. If no entry answers, the old ones
/// stay in use.
async fn refresh_addresses(
    shared: Arc<Shared>,
    target_index: usize,
    initial: Vec<SocketAddr>,
    service: String,
    refresh_cancel: CancellationToken,
) {
    let mut rng = fastrand::Rng::with_seed(shared.options.seed ^ target_index as u64);
    loop {
        let ttl = shared.resolved_targets[target_index].addresses.lock().ttl();
        let pause = ttl.mul_f64(0.9).max(MIN_LOOKUP_INTERVAL);
        if refresh_cancel.run_until_cancelled(tokio::time::sleep(pause)).await.is_none() {
            return;
        }
        let known_entry =
            shared.resolved_targets[target_index].addresses.lock().pick(&[], &mut rng);
        for address in known_entry.into_iter().chain(initial.iter().copied()) {
            if let Some(addresses) = look_up_addresses(address, &service).await {
                *shared.resolved_targets[target_index].addresses.lock() = addresses;
                break;
            }
        }
    }
}

/// Looks up addresses at one entry; an answer without addresses counts as none.
async fn look_up_addresses(address: SocketAddr, service: &str) -> Option<Addresses> {
    let path = format!("/v1/addresses?service={service}");
    let response = fetch(address, "GET", &path, "", LOOKUP_TIMEOUT).await.ok()?;
    if response.status != StatusCode::OK {
        return None;
    }
    let addresses: Addresses = serde_json::from_slice(&response.body).ok()?;
    (!addresses.all().is_empty()).then_some(addresses)
}
