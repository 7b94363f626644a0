//! Creates the adapters, connects them and runs the entry until its planned stop has ended.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Incoming;
use log::LevelFilter;
use motore::service::Service;
use prometheus_client::metrics::gauge::Gauge;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use volo_http::request::Request;
use volo_http::response::Response;

use super::Dispatcher;
use super::Error;
use super::ServerClient;
use super::control::Control;
use super::directory::Directory;
use super::early_signals::EarlySignals;
use super::forward::ForwardClient;
use super::forward::ForwardService;
use super::front::Front;
use super::gossip::Gossip;
use super::gossip::Ports;
use super::metrics::Metrics;
use super::planned_stop::PlannedStop;
use super::reloader;
use super::reloader::Reloader;
use super::request_log::RequestLog;
use super::store_reader::StoreReader;
use super::store_replica::StoreReplica;
use crate::clock::BootClock;
use crate::clock::Random;
use crate::exchange::Client;
use crate::listen;
use crate::listen::BufferBudget;
use crate::listen::Context;
use crate::listen::Counters;
use crate::listen::Limits;
use crate::logs;
use crate::settings::LogFormat;
use crate::settings::LogSettings;
use crate::stop::Signals;
use crate::traffic::Traffic;
use jackdawpin_core::direct::fleet::Fleet;
use jackdawpin_core::direct::peers::Member;
use jackdawpin_core::direct::peers::Peers;
use jackdawpin_core::port::Clock;
use jackdawpin_platform::settings::PATH_VARIABLE;
use jackdawpin_platform::settings::Settings;

/// Worker threads. An entry VM has one core or a part of one.
const WORKER_THREADS: usize = 1;

/// Limit on the bytes of all bodies held at once: about a tenth of the memory of a small VM. A seventh
/// is for small bodies, so that larger ones have 24 MiB.
const MAX_BODY_BYTES: usize = 28 << 20;

/// Limit on the bytes of all messages from peers and from the store held at once.
const MAX_CONTROL_BYTES: usize = 16 << 20;

/// File descriptors that are planned for each connection of a caller, so that half of all
/// descriptors remain for other uses.
const DESCRIPTORS_PER_CONNECTION: usize = 2;

/// File descriptors that are planned for each connection of another entry that passes requests on.
const DESCRIPTORS_PER_FORWARD_CONNECTION: usize = 8;

/// Limits on the connections of callers; the number of connections comes from the settings. Callers
/// may rely on an idle connection for the operators' idle timeout, so that connections are kept
/// longer than any such timeout.
const CALLER_LIMITS: Limits = Limits {
    connections: 0,
    head_bytes: 64 << 10,
    head_timeout: Duration::from_secs(5),
    body_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_secs(120),
};

/// Runs the entry with the settings file whose path is in the environment. `variable` returns the
/// value of an environment variable.
pub fn run(variable: impl Fn(&str) -> Option<OsString>) -> ExitCode {
    match start(variable) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("event=stop error=\"{err}\"");
            eprintln!("jackdawpind: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Starts the log and the runtime, and runs the entry in it.
fn start(variable: impl Fn(&str) -> Option<OsString>) -> Result<(), Error> {
    let early_signals = EarlySignals::register().map_err(Error::Signal)?;
    let path = PathBuf::from(variable(PATH_VARIABLE).ok_or(Error::UnsetVariable(PATH_VARIABLE))?);
    let settings = reloader::read_settings(&path)?;
    let log = LogSettings { format: LogFormat::Json, level: LevelFilter::Info };
    // The writer lives until the entry has ended, so that its last lines are written.
    let _log_writer = logs::start(log, &settings.vm)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    runtime
        .block_on(async { tokio::spawn(serve(settings, path, early_signals)).await })
        .unwrap_or_else(|err| {
            log::error!("event=stop error=\"{err}\"");
            Ok(())
        })
}

/// Runs the entry until its planned stop has ended.
async fn serve(
    settings: Settings,
    path: PathBuf,
    early_signals: EarlySignals,
) -> Result<(), Error> {
    let stop = CancellationToken::new();
    tokio::spawn(Signals::new().map_err(Error::Signal)?.run(stop.clone()));
    let body_budget = BufferBudget::new(MAX_BODY_BYTES, Gauge::default());
    let client = || Arc::new(Client::new(body_budget.clone(), Traffic::default()));
    let entries = ForwardClient::new(client(), settings.ip, settings.peer_port);
    let dispatcher = Arc::new(new_dispatcher(&settings, ServerClient::new(client(), entries)));
    let reloader = Reloader::new(dispatcher.clone(), path)?;
    if early_signals.stop_requested() {
        stop.cancel();
    }
    if early_signals.reload_requested() {
        reloader.apply();
    }
    let metrics = Arc::new(Metrics::new());
    let control_budget = BufferBudget::new(MAX_CONTROL_BYTES, Gauge::default());
    let control_client = Arc::new(Client::new(control_budget, Traffic::default()));
    let replica = Arc::new(StoreReplica::new(dispatcher.clone()));
    let ports = Ports { datagrams: settings.peer_port, control: settings.control_address.port() };
    let gossip = Gossip::bind(dispatcher.clone(), control_client.clone(), settings.ip, ports).await;
    let peer_address = SocketAddr::from((settings.ip, settings.peer_port));
    let gossip = Arc::new(gossip.map_err(|err| Error::Bind(peer_address, err))?);

    let other_listeners_stop = CancellationToken::new();
    let callers_stop = CancellationToken::new();
    let limits = Limits {
        connections: settings.max_descriptors / DESCRIPTORS_PER_CONNECTION,
        ..CALLER_LIMITS
    };
    let request_log = Arc::new(RequestLog::new(metrics.clone()));
    let front = Arc::new(Front::new(dispatcher.clone(), body_budget, request_log));
    let address = settings.callers_address;
    let counters = metrics.caller_counters();
    let callers = spawn_listener(address, front.clone(), (limits, counters), &callers_stop)?;
    let forwards = ForwardService::new(dispatcher.clone(), front);
    let forward_limits = Limits {
        connections: settings.max_descriptors / DESCRIPTORS_PER_FORWARD_CONNECTION,
        ..CALLER_LIMITS
    };
    let forwards = spawn_listener(
        peer_address,
        Arc::new(forwards),
        (forward_limits, Counters::default()),
        &callers_stop,
    )?;
    let limits = || (limits, Counters::default());
    let directory = || {
        let port = settings.callers_address.port();
        Arc::new(Directory::new(dispatcher.clone(), port, settings.max_address_ttl))
    };
    spawn_listener(settings.directory_address, directory(), limits(), &other_listeners_stop)?;
    spawn_listener(settings.readiness_address, directory(), limits(), &other_listeners_stop)?;
    let control = Control::new(dispatcher.clone(), replica.clone(), metrics.clone());
    spawn_listener(settings.control_address, Arc::new(control), limits(), &other_listeners_stop)?;

    let cancel = CancellationToken::new();
    tokio::spawn(gossip.clone().run(replica.clone(), cancel.clone()));
    tokio::spawn(reloader.run(cancel.clone()));
    let parts = (dispatcher.clone(), replica, gossip.clone());
    let reader = StoreReader::new(parts, metrics, control_client, settings.store_address);
    tokio::spawn(reader.run(settings.first_start, cancel.clone()));
    log::info!(
        "event=start vm={} domain={} callers={} first_start={}",
        settings.vm,
        settings.domain,
        settings.callers_address,
        settings.first_start
    );
    stop.cancelled().await;
    let listeners = [callers, forwards];
    PlannedStop {
        dispatcher,
        gossip,
        listeners,
        listeners_stop: callers_stop,
        limit: settings.stop_limit,
    }
    .run()
    .await;
    cancel.cancel();
    other_listeners_stop.cancel();
    Ok(())
}

fn new_dispatcher(settings: &Settings, servers: ServerClient) -> Dispatcher {
    let own = Member {
        ip: settings.ip,
        domain: settings.domain.clone(),
        // A VM has no lasting storage, so only the wall clock orders the processes that ran on it.
        incarnation: BootClock.wall_millis(),
        heartbeat: 0,
        leaving: false,
    };
    let peers = Peers::new(own, settings.seeds.clone());
    let fleet = Fleet::new(settings.domain.clone(), settings.ip);
    Dispatcher::new((fleet, peers), (servers, BootClock, Random), settings.bounds)
}

/// Binds `address` and starts to serve its connections with `service` until `stop`.
fn spawn_listener<S>(
    address: SocketAddr,
    service: Arc<S>,
    (limits, counters): (Limits, Counters),
    stop: &CancellationToken,
) -> Result<JoinHandle<()>, Error>
where
    S: Service<
            Context,
            Request<Incoming>,
            Response = Response<Full<bytes::Bytes>>,
            Error = std::convert::Infallible,
        > + Send
        + Sync
        + 'static,
{
    let listener = listen::bind(address).map_err(|err| Error::Bind(address, err))?;
    let serve = listen::serve(listener, service, limits, counters, stop.clone());
    Ok(tokio::spawn(serve))
}
