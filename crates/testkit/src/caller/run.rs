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
use super::Call;
use super::Options;
use super::Pace;
use super::Plan;
use super::Record;
use super::classify;
use crate::http::Error as ExchangeError;
use crate::http::Pool;
use crate::http::REQUEST_ID;
use crate::http::TIMEOUT;
use crate::http::Whole;
use crate::http::fetch;

/// Addresses that a request tries to connect to before it gives up.
const MAX_CONNECTS: usize = 3;
/// Time beyond a request's own after which its answer is no longer waited for.
const GRACE: Duration = Duration::from_secs(1);
/// Time for an entry to answer the question for addresses.
const ADDRESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed question for addresses, and shortest time for which an answer is kept.
const ADDRESS_PAUSE: Duration = Duration::from_millis(100);
/// Failed questions for addresses before a run is given up at its start.
const MAX_FIRST_ASKS: usize = 20;

quick_error! {
    /// Why a run could not start.
    #[derive(Debug)]
    pub enum Error {
        /// No entry answered the question for addresses, or only without addresses.
        NoAddresses(service: String) {
            display("no entry gave addresses for service {}", service)
        }
        /// There is nothing to send to.
        NoTarget {
            display("there is no entry and no server to send to")
        }
    }
}

/// Where requests go.
#[derive(Debug, Clone)]
pub enum Target {
    /// Through entries, which are asked for addresses.
    Entries {
        /// Entries to ask first.
        first: Vec<SocketAddr>,
        /// The service.
        service: String,
    },
    /// Straight to servers, for comparison.
    Servers(Vec<SocketAddr>),
}

struct Route {
    direct: bool,
    prefix: String,
    addresses: Mutex<Addresses>,
}

impl Route {
    fn new(target: &Target) -> Self {
        match target {
            Target::Entries { first, service } => Self {
                direct: false,
                prefix: format!("/v1/call/{service}"),
                addresses: Mutex::new(Addresses::first(first)),
            },
            Target::Servers(servers) => Self {
                direct: true,
                prefix: String::new(),
                addresses: Mutex::new(Addresses::first(servers)),
            },
        }
    }
}

struct Shared {
    options: Options,
    routes: Vec<Route>,
    pool: Pool,
    // Order of locks: `plan`, then `rng`, then a route's addresses, then `records`; none is held across an await.
    plan: Mutex<Plan>,
    rng: Mutex<fastrand::Rng>,
    records: Mutex<Vec<Record>>,
    start: Instant,
}

/// Sends a planned load to one or more targets in turn.
pub struct Caller {
    shared: Arc<Shared>,
    stop: CancellationToken,
}

impl Caller {
    /// Asks for addresses and prepares a run, which begins now.
    ///
    /// # Errors
    ///
    /// There is no target, or none of a target's entries gives addresses within some seconds.
    pub async fn new(options: Options, targets: &[Target]) -> Result<Self, Error> {
        if targets.is_empty() {
            return Err(Error::NoTarget);
        }
        let routes: Vec<Route> = targets.iter().map(Route::new).collect();
        for (route, target) in routes.iter().zip(targets) {
            if let Target::Entries { first, service } = target {
                let found = first_addresses(first, service).await;
                *route.addresses.lock() =
                    found.ok_or_else(|| Error::NoAddresses(service.clone()))?;
            }
        }
        let shared = Arc::new(Shared {
            plan: Mutex::new(Plan::new(&options)),
            rng: Mutex::new(fastrand::Rng::with_seed(options.seed.wrapping_add(1))),
            records: Mutex::default(),
            pool: Pool::default(),
            start: Instant::now(),
            options,
            routes,
        });
        let stop = CancellationToken::new();
        for (index, target) in targets.iter().enumerate() {
            if let Target::Entries { first, service } = target {
                tokio::spawn(refresh(
                    Arc::clone(&shared),
                    index,
                    first.clone(),
                    service.clone(),
                    stop.clone(),
                ));
            }
        }
        Ok(Self { shared, stop })
    }

    /// Time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.shared.start.elapsed()
    }

    /// Sends the load, waits for the end of each request and returns the records in order of their end.
    ///
    /// `cancel` ends the sending early.
    pub async fn run(self, cancel: &CancellationToken) -> Vec<Record> {
        let end = self.shared.start + self.shared.options.time;
        let sending = async {
            match self.shared.options.pace {
                Pace::Open(rate) => open_loop(&self.shared, rate, end, cancel).await,
                Pace::Closed(workers) => closed_loop(&self.shared, workers, end, cancel).await,
            }
        };
        sending.await;
        self.stop.cancel();
        std::mem::take(&mut *self.shared.records.lock())
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn open_loop(shared: &Arc<Shared>, rate: f64, end: Instant, cancel: &CancellationToken) {
    let tasks = TaskTracker::new();
    let places = Arc::new(Semaphore::new(shared.options.max_in_flight));
    loop {
        let (arrival, call) = {
            let mut plan = shared.plan.lock();
            (shared.start + plan.next_arrival(rate), plan.next_call())
        };
        let Some(call) = call.filter(|_| arrival < end) else { break };
        if cancel.run_until_cancelled(tokio::time::sleep_until(arrival)).await.is_none() {
            break;
        }
        let Ok(place) = Arc::clone(&places).acquire_owned().await else { break };
        let shared = Arc::clone(shared);
        tasks.spawn(async move {
            shared.send(call, arrival).await;
            drop(place);
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
                let next = shared.plan.lock().next_call();
                let Some(call) = next else { return };
                shared.send(call, Instant::now()).await;
            }
        });
    }
    tasks.close();
    tasks.wait().await;
}

impl Shared {
    async fn send(&self, call: Call, intended: Instant) {
        let late = intended.elapsed();
        let target = usize::try_from(call.number % self.routes.len() as u64).unwrap_or(0);
        let route = &self.routes[target];
        let mut tried = Vec::new();
        let result = loop {
            let picked = route.addresses.lock().pick(&tried, &mut self.rng.lock());
            let Some(address) = picked else { return };
            let result = self.exchange(route, address, &call).await;
            match result {
                // Nothing was sent, so the request may go elsewhere.
                Err(ExchangeError::Connect(..)) if tried.len() + 1 < MAX_CONNECTS => {
                    tried.push(address);
                }
                result => break result,
            }
        };
        let verdict = classify(&result, &call.id, route.direct);
        let record = Record {
            id: call.id,
            idempotent: call.idempotent,
            target,
            at: intended.saturating_duration_since(self.start),
            latency: intended.elapsed(),
            late,
            class: verdict.class,
            reason: verdict.reason,
            status: verdict.status,
            moves: u32::try_from(tried.len()).unwrap_or(u32::MAX),
        };
        self.records.lock().push(record);
    }

    async fn exchange(
        &self,
        route: &Route,
        address: SocketAddr,
        call: &Call,
    ) -> Result<Whole, ExchangeError> {
        let (method, size) = if call.idempotent { ("GET", 0) } else { ("POST", self.options.body) };
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{}", route.prefix, self.options.path))
            .header(header::HOST, address.to_string())
            .header(REQUEST_ID, &call.id)
            .header(TIMEOUT, self.options.timeout.as_millis().to_string())
            .body(Full::new(Bytes::from(vec![b'x'; size])))?;
        let limit = self.options.timeout + GRACE;
        match tokio::time::timeout(limit, self.pool.send(address, request)).await {
            Ok(result) => result,
            Err(_) => Err(ExchangeError::Timeout(address)),
        }
    }
}

async fn first_addresses(first: &[SocketAddr], service: &str) -> Option<Addresses> {
    for ask in 0..MAX_FIRST_ASKS {
        let address = first.get(ask % first.len().max(1))?;
        if let Some(addresses) = ask_for_addresses(*address, service).await {
            return Some(addresses);
        }
        tokio::time::sleep(ADDRESS_PAUSE).await;
    }
    None
}

/// Replaces the addresses shortly before their time to live ends. If no entry answers, the old ones stay in use.
async fn refresh(
    shared: Arc<Shared>,
    index: usize,
    first: Vec<SocketAddr>,
    service: String,
    stop: CancellationToken,
) {
    let mut rng = fastrand::Rng::with_seed(shared.options.seed ^ index as u64);
    loop {
        let ttl = shared.routes[index].addresses.lock().ttl();
        let pause = ttl.mul_f64(0.9).max(ADDRESS_PAUSE);
        if stop.run_until_cancelled(tokio::time::sleep(pause)).await.is_none() {
            return;
        }
        let known = shared.routes[index].addresses.lock().pick(&[], &mut rng);
        for address in known.into_iter().chain(first.iter().copied()) {
            if let Some(addresses) = ask_for_addresses(address, &service).await {
                *shared.routes[index].addresses.lock() = addresses;
                break;
            }
        }
    }
}

/// Asks one entry; an answer without addresses counts as none.
async fn ask_for_addresses(address: SocketAddr, service: &str) -> Option<Addresses> {
    let target = format!("/v1/addresses?service={service}");
    let whole = fetch(address, "GET", &target, "", ADDRESS_TIMEOUT).await.ok()?;
    if whole.status != StatusCode::OK {
        return None;
    }
    let addresses: Addresses = serde_json::from_slice(&whole.body).ok()?;
    (!addresses.all().is_empty()).then_some(addresses)
}
