//! Joins the adapters and runs the daemon until its planned stop has ended.

mod error;
mod scouts;
mod sink;

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
use crate::control::Listener;
use crate::exchange::Client;
use crate::front::Front;
use crate::listen;
use crate::listen::BufferBudget;
use crate::platform;
use crate::platform::Http;
use crate::platform::Key;
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

/// How long a planned stop waits beyond the life of an address answer: a request that a caller sends
/// at its end is under way for a one-way latency of about 10 ms, and callers' timers are not exact.
const MARGIN: Duration = Duration::from_millis(500);

/// Bytes of all messages of peers and documents held at once: a few documents of 1 MB from several
/// peers.
const CONTROL_BYTES: usize = 16 << 20;

/// The parts of a running daemon.
struct Daemon {
    settings: Settings,
    router: Arc<Router<Adapters>>,
    control: Arc<Control<Adapters>>,
    telemetry: Arc<Telemetry>,
    budget: BufferBudget,
    control_budget: BufferBudget,
    /// Connections to the platform.
    platform: Arc<Client>,
    /// Ends the tasks that serve no request.
    cancel: CancellationToken,
}

/// Runs the daemon until it is told to stop.
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

async fn serve(settings: Settings) -> Result<(), Error> {
    let signals = Signals::new().map_err(Error::Signal)?;
    let stop = CancellationToken::new();
    tokio::spawn(signals.run(stop.clone()));
    let callers = bind("listen", settings.listen)?;
    let peers = bind("control", settings.control)?;
    let daemon = Daemon::new(settings);
    daemon.spawn_tasks();
    let front_stop = CancellationToken::new();
    let control_stop = CancellationToken::new();
    let front = daemon.spawn_front(callers, &front_stop);
    let control = daemon.spawn_control(peers, &control_stop);
    let settings = &daemon.settings;
    log::info!("{} listens on {}, control on {}", settings.vm, settings.listen, settings.control);
    stop.cancelled().await;
    let limit = settings.stop_limit;
    let stopping = daemon.stop(front, &front_stop, control, &control_stop);
    match limit {
        None => stopping.await,
        Some(limit) => {
            if tokio::time::timeout(limit, stopping).await.is_err() {
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
            // A VM keeps nothing, so only the wall clock orders its processes.
            incarnation: clock::BootClock.wall_millis(),
        };
        let tables = Arc::new(Tables::new(settings.vm.clone(), clock::BootClock.now()));
        let buffered = metrics.entry.buffered.clone();
        let budget = BufferBudget::new(settings.max_buffered_bytes, buffered);
        // Messages of peers and documents must get through when callers have used up the budget.
        let control_budget = BufferBudget::new(CONTROL_BYTES, Gauge::default());
        let ports = Arc::new(Adapters::new(
            Client::new(budget.clone(), metrics.servers.clone()),
            Client::new(budget.clone(), metrics.peers.clone()),
            Client::new(control_budget.clone(), metrics.peers.clone()),
        ));
        let platform = Client::new(control_budget.clone(), Traffic::default());
        let seeds = settings.seeds.clone();
        Self {
            router: Arc::new(Router::new(tables.clone(), ports.clone())),
            control: Arc::new(Control::new(identity, seeds, tables, ports)),
            telemetry,
            budget,
            control_budget,
            platform: Arc::new(platform),
            cancel: CancellationToken::new(),
            settings,
        }
    }

    fn spawn_tasks(&self) {
        let (control, cancel) = (self.control.clone(), self.cancel.clone());
        tokio::spawn(async move { control.run(&cancel).await });
        let (router, cancel) = (self.router.clone(), self.cancel.clone());
        tokio::spawn(async move { scouts::run(router, cancel).await });
        let platform = Http::new(self.platform.clone(), self.settings.platform);
        let keys = &self.settings.keys;
        self.spawn_watch(platform.clone(), Key::Config, keys.config.clone());
        self.spawn_watch(platform, Key::Vms, keys.vms.clone());
    }

    fn spawn_watch(&self, fetch: Http, key: Key, name: String) {
        let sink = Sink::new(self.control.clone(), self.telemetry.metrics().entry.clone());
        let cancel = self.cancel.clone();
        tokio::spawn(async move {
            let (clock, random) = (&clock::BootClock, &clock::Random);
            let watch = Watch { fetch: &fetch, sink: &sink, clock, random };
            platform::watch(watch, key, &name, &cancel).await;
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
        let counters = self.telemetry.metrics().callers.clone();
        tokio::spawn(listen::serve(listener, front, limits, counters, stop.clone()))
    }

    fn spawn_control(&self, listener: TcpListener, stop: &CancellationToken) -> JoinHandle<()> {
        let service = Arc::new(Listener::new(
            self.router.clone(),
            self.control.clone(),
            self.budget.clone(),
            self.control_budget.clone(),
            self.settings.limits.body_timeout,
            self.telemetry.clone(),
        ));
        let limits = self.settings.limits;
        let counters = self.telemetry.metrics().control.clone();
        tokio::spawn(listen::serve(listener, service, limits, counters, stop.clone()))
    }

    /// The planned stop. Callers keep addresses for a while, so requests are still taken until the
    /// last answer with this entry's address has expired.
    async fn stop(
        &self,
        front: JoinHandle<()>,
        front_stop: &CancellationToken,
        control: JoinHandle<()>,
        control_stop: &CancellationToken,
    ) {
        self.control.leave();
        let wait = self.longest_ttl() + MARGIN;
        log::info!("stopping: callers are sent elsewhere for {} ms", wait.as_millis());
        tokio::time::sleep(wait).await;
        front_stop.cancel();
        ended("callers' listener", front).await;
        self.router.tables().gate.close();
        control_stop.cancel();
        ended("control listener", control).await;
        self.cancel.cancel();
    }

    fn longest_ttl(&self) -> Duration {
        let routes = self.router.tables().routes();
        let ttls = routes.iter().map(|(_, route)| route.settings().policy.address_ttl);
        ttls.max().unwrap_or_default()
    }
}

async fn ended(what: &str, task: JoinHandle<()>) {
    if let Err(err) = task.await {
        log::error!("the {what} failed: {err}");
    }
}
