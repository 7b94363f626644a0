//! Connects the adapters and runs the daemon until its planned stop is complete.
//!
//! The daemon has a listener for callers, a listener for other entries and operators, and
//! background tasks that read the documents, exchange heartbeats, renew claims and probe servers. A
//! planned stop closes the listener for callers first, the control listener next, and ends the
//! tasks last.

mod error;
mod sink;
mod vacancy;

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use prometheus_client::metrics::gauge::Gauge;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use self::error::Error;
use self::sink::Sink;
use crate::adapters::Adapters;
use crate::clock;
use crate::control::Handler;
use crate::exchange::Client;
use crate::front::Front;
use crate::listen;
use crate::listen::BufferBudget;
use crate::platform;
use crate::platform::Document;
use crate::platform::HttpFetcher;
use crate::platform::Watch;
use crate::settings::Settings;
use crate::stop::Signals;
use crate::telemetry::Telemetry;
use crate::traffic::Traffic;
use jackdawpin_core::holder::control::Control;
use jackdawpin_core::holder::control::Identity;
use jackdawpin_core::holder::flow::Router;
use jackdawpin_core::holder::flow::Tables;
use jackdawpin_core::port::Clock;

/// How long a planned stop waits beyond the time to live of address lists. A request that a caller
/// sends when its list expires arrives after a one-way latency of about 10 ms, and callers' timers
/// are not exact.
const ADDRESS_EXPIRY_MARGIN: Duration = Duration::from_millis(500);

/// Largest total size in bytes of messages of peers and documents that are buffered at the same
/// time: a few documents of 1 MB from several peers.
const MAX_CONTROL_BYTES: usize = 16 << 20;

/// The parts of a running daemon.
struct Daemon {
    settings: Settings,
    router: Arc<Router<Adapters>>,
    control: Arc<Control<Adapters>>,
    telemetry: Arc<Telemetry>,
    /// For the bodies of calls and of forwarded requests.
    budget: BufferBudget,
    /// For all other messages of peers and for documents.
    control_budget: BufferBudget,
    /// Connections to the platform.
    platform_client: Arc<Client>,
    /// Ends the background tasks.
    cancel: CancellationToken,
}

/// Runs the daemon until a planned stop is complete.
pub fn run(settings: Settings) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(serve(settings)),
        Err(err) => Err(Error::Runtime(err)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("{err}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the daemon on the current runtime until its planned stop is complete.
async fn serve(settings: Settings) -> Result<(), Error> {
    let signals = Signals::new().map_err(Error::Signal)?;
    let stop = CancellationToken::new();
    tokio::spawn(signals.run(stop.clone()));
    let callers_listener = bind("listen", settings.listen)?;
    let control_listener = bind("control", settings.control)?;
    let daemon = Daemon::new(settings);
    daemon.spawn_tasks();
    let front_stop = CancellationToken::new();
    let control_stop = CancellationToken::new();
    let front_task = daemon.spawn_front(callers_listener, &front_stop);
    let control_task = daemon.spawn_control(control_listener, &control_stop);
    let settings = &daemon.settings;
    log::info!("{} listens on {}, control on {}", settings.vm, settings.listen, settings.control);
    stop.cancelled().await;
    let limit = settings.stop_limit;
    let planned_stop = daemon.stop(front_task, &front_stop, control_task, &control_stop);
    match limit {
        None => planned_stop.await,
        Some(limit) => {
            if tokio::time::timeout(limit, planned_stop).await.is_err() {
                log::warn!(
                    "the stop limit of {} ms passed with requests in flight",
                    limit.as_millis()
                );
            }
        }
    }
    log::info!("stopped");
    Ok(())
}

fn bind(name: &'static str, address: std::net::SocketAddr) -> Result<TcpListener, Error> {
    listen::bind(address).map_err(|err| Error::Bind(name, address, err))
}

impl Daemon {
    fn new(settings: Settings) -> Self {
        let telemetry = Arc::new(Telemetry::default());
        let metrics = telemetry.metrics();
        let identity = Identity {
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            caller: settings.listen,
            control: settings.control,
            // A VM stores nothing, so only the wall clock can order its processes.
            incarnation: clock::BootClock.wall_millis(),
        };
        let tables = Arc::new(Tables::new(settings.vm.clone(), clock::BootClock.now()));
        let buffered_bytes = metrics.entry.buffered_bytes.clone();
        let budget = BufferBudget::new(settings.max_buffered_bytes, buffered_bytes);
        // Messages of peers and documents must still be received when calls have used up their
        // budget.
        let control_budget = BufferBudget::new(MAX_CONTROL_BYTES, Gauge::default());
        let ports = Arc::new(Adapters::new(
            Client::new(budget.clone(), metrics.server_traffic.clone()),
            Client::new(budget.clone(), metrics.peer_traffic.clone()),
            Client::new(control_budget.clone(), metrics.peer_traffic.clone()),
        ));
        let platform_client = Client::new(control_budget.clone(), Traffic::default());
        let seeds = settings.seeds.clone();
        Self {
            router: Arc::new(Router::new(tables.clone(), ports.clone())),
            control: Arc::new(Control::new(identity, seeds, tables, ports)),
            telemetry,
            budget,
            control_budget,
            platform_client: Arc::new(platform_client),
            cancel: CancellationToken::new(),
            settings,
        }
    }

    fn spawn_tasks(&self) {
        let (control, cancel) = (self.control.clone(), self.cancel.clone());
        tokio::spawn(async move { control.run(&cancel).await });
        let (router, cancel) = (self.router.clone(), self.cancel.clone());
        tokio::spawn(async move { vacancy::run(router, cancel).await });
        let fetcher = HttpFetcher::new(self.platform_client.clone(), self.settings.platform);
        let keys = &self.settings.keys;
        self.spawn_watch(fetcher.clone(), Document::Config, keys.config.clone());
        self.spawn_watch(fetcher, Document::Vms, keys.vms.clone());
    }

    fn spawn_watch(&self, fetcher: HttpFetcher, document: Document, key: String) {
        let sink = Sink::new(self.control.clone(), self.telemetry.metrics().entry.clone());
        let cancel = self.cancel.clone();
        tokio::spawn(async move {
            let (clock, random) = (&clock::BootClock, &clock::Random);
            let watch = Watch { fetch: &fetcher, sink: &sink, clock, random };
            platform::watch(watch, document, &key, &cancel).await;
        });
    }

    fn spawn_front(&self, listener: TcpListener, stop: &CancellationToken) -> JoinHandle<()> {
        let front = Arc::new(Front::new(
            self.router.clone(),
            self.budget.clone(),
            self.settings.limits.body_timeout,
            self.telemetry.clone(),
        ));
        let limits = self.settings.limits;
        let counters = self.telemetry.metrics().caller_listener.clone();
        tokio::spawn(listen::serve(listener, front, limits, counters, stop.clone()))
    }

    fn spawn_control(&self, listener: TcpListener, stop: &CancellationToken) -> JoinHandle<()> {
        let handler = Arc::new(Handler::new(
            self.router.clone(),
            self.control.clone(),
            self.budget.clone(),
            self.control_budget.clone(),
            self.settings.limits.body_timeout,
            self.telemetry.clone(),
        ));
        let limits = self.settings.limits;
        let counters = self.telemetry.metrics().control_listener.clone();
        tokio::spawn(listen::serve(listener, handler, limits, counters, stop.clone()))
    }

    /// Performs the planned stop. Callers keep address lists for their time to live, so requests
    /// are still accepted until the last list with this entry's address has expired.
    async fn stop(
        &self,
        front_task: JoinHandle<()>,
        front_stop: &CancellationToken,
        control_task: JoinHandle<()>,
        control_stop: &CancellationToken,
    ) {
        self.control.leave();
        let wait = self.max_address_ttl() + ADDRESS_EXPIRY_MARGIN;
        log::info!("stopping: callers are sent elsewhere for {} ms", wait.as_millis());
        tokio::time::sleep(wait).await;
        front_stop.cancel();
        join("callers' listener", front_task).await;
        self.router.tables().gate.close();
        control_stop.cancel();
        join("control listener", control_task).await;
        self.cancel.cancel();
    }

    /// The longest time to live of address lists among the services.
    fn max_address_ttl(&self) -> Duration {
        let routes = self.router.tables().routes();
        let ttls = routes.iter().map(|(_, route)| route.settings().policy.address_ttl);
        ttls.max().unwrap_or_default()
    }
}

/// Waits until a task has ended, and logs an error if it panicked.
async fn join(name: &str, task: JoinHandle<()>) {
    if let Err(err) = task.await {
        log::error!("the {name} failed: {err}");
    }
}
