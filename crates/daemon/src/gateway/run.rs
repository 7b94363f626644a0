//! Joins the adapters and runs the entry until its planned stop has ended.

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

use super::Error;
use super::Flow;
use super::ServerClient;
use super::control::Control;
use super::directory::Directory;
use super::early::Early;
use super::exchange::Exchange;
use super::exchange::Ports;
use super::feeder::Feeder;
use super::front::Front;
use super::journal::Journal;
use super::metrics::Metrics;
use super::reload;
use super::reload::Reload;
use super::stop::Stop;
use super::store::Reader;
use crate::clock::BootClock;
use crate::clock::Random;
use crate::exchange::Client;
use crate::listen;
use crate::listen::BufferBudget;
use crate::listen::Context;
use crate::listen::Counters;
use crate::listen::Limits;
use crate::logs;
use crate::settings::Format;
use crate::settings::Log;
use crate::stop::Signals;
use crate::traffic::Traffic;
use jackdawpin_core::direct::fleet::Fleet;
use jackdawpin_core::direct::peers::Member;
use jackdawpin_core::direct::peers::Peers;
use jackdawpin_core::port::Clock;
use jackdawpin_platform::settings::PATH_VARIABLE;
use jackdawpin_platform::settings::Settings;

/// Worker threads. An entry VM has one core or a part of one.
const WORKERS: usize = 1;

/// Bytes of all bodies held at once, a tenth of the memory of a small VM.
const BODY_BYTES: usize = 24 << 20;

/// Bytes of all messages of peers and the store held at once.
const CONTROL_BYTES: usize = 16 << 20;

/// File descriptors that are not for connections of callers, as a part of all.
const RESERVED_PART: usize = 2;

/// Limits of the connections of callers. The operators' idle timeout is a bound on what callers may
/// rely on, so connections are kept longer than any of them.
const CALLER_LIMITS: Limits = Limits {
    connections: 0,
    head_bytes: 64 << 10,
    head_timeout: Duration::from_secs(5),
    body_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_secs(120),
};

/// Runs the entry with the settings file that the environment names.
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

fn start(variable: impl Fn(&str) -> Option<OsString>) -> Result<(), Error> {
    let early = Early::catch().map_err(Error::Signal)?;
    let path = PathBuf::from(variable(PATH_VARIABLE).ok_or(Error::Unset(PATH_VARIABLE))?);
    let settings = reload::read(&path)?;
    let log = Log { format: Format::Json, level: LevelFilter::Info };
    // The writer lives until the entry has ended, so that its last lines are written.
    let _writer = logs::start(log, &settings.vm)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    runtime.block_on(async { tokio::spawn(serve(settings, path, early)).await }).unwrap_or_else(
        |err| {
            log::error!("event=stop error=\"{err}\"");
            Ok(())
        },
    )
}

async fn serve(settings: Settings, path: PathBuf, early: Early) -> Result<(), Error> {
    let stop = CancellationToken::new();
    tokio::spawn(Signals::new().map_err(Error::Signal)?.run(stop.clone()));
    let budget = BufferBudget::new(BODY_BYTES, Gauge::default());
    let client = Arc::new(Client::new(budget.clone(), Traffic::default()));
    let flow = Arc::new(flow(&settings, ServerClient::new(client)));
    let reload = Reload::new(flow.clone(), path)?;
    if early.stop() {
        stop.cancel();
    }
    if early.hang_up() {
        reload.apply();
    }
    let metrics = Arc::new(Metrics::new());
    let control_budget = BufferBudget::new(CONTROL_BYTES, Gauge::default());
    let control_client = Arc::new(Client::new(control_budget, Traffic::default()));
    let feeder = Arc::new(Feeder::new(flow.clone()));
    let ports = Ports { datagrams: settings.peer_port, control: settings.control_address.port() };
    let exchange = Exchange::bind(flow.clone(), control_client.clone(), settings.ip, ports).await;
    let peer_address = SocketAddr::from((settings.ip, settings.peer_port));
    let exchange = Arc::new(exchange.map_err(|err| Error::Bind(peer_address, err))?);

    let listen_stop = CancellationToken::new();
    let callers_stop = CancellationToken::new();
    let limits = Limits { connections: settings.max_descriptors / RESERVED_PART, ..CALLER_LIMITS };
    let journal = Arc::new(Journal::new(metrics.clone()));
    let front = Front::new(flow.clone(), budget, journal);
    let callers = listen(settings.callers_address, front, limits, &callers_stop)?;
    let directory =
        || Directory::new(flow.clone(), settings.callers_address.port(), settings.max_address_ttl);
    listen(settings.directory_address, directory(), limits, &listen_stop)?;
    listen(settings.readiness_address, directory(), limits, &listen_stop)?;
    let control = Control::new(flow.clone(), feeder.clone(), metrics.clone());
    listen(settings.control_address, control, limits, &listen_stop)?;

    let cancel = CancellationToken::new();
    tokio::spawn(exchange.clone().run(feeder.clone(), cancel.clone()));
    tokio::spawn(reload.run(cancel.clone()));
    let parts = (flow.clone(), feeder, exchange.clone());
    let reader = Reader::new(parts, metrics, control_client, settings.store_address);
    tokio::spawn(reader.run(settings.first_start, cancel.clone()));
    log::info!(
        "event=start vm={} domain={} callers={} first_start={}",
        settings.vm,
        settings.domain,
        settings.callers_address,
        settings.first_start
    );
    stop.cancelled().await;
    Stop { flow, exchange, callers, callers_stop, limit: settings.stop_limit }.run().await;
    cancel.cancel();
    listen_stop.cancel();
    Ok(())
}

fn flow(settings: &Settings, servers: ServerClient) -> Flow {
    let row = Member {
        ip: settings.ip,
        domain: settings.domain.clone(),
        // A VM keeps nothing, so only the wall clock orders its processes.
        incarnation: BootClock.wall_millis(),
        heartbeat: 0,
        leaving: false,
    };
    let peers = Peers::new(row, settings.seeds.clone());
    let fleet = Fleet::new(settings.domain.clone(), settings.ip);
    Flow::new((fleet, peers), (servers, BootClock, Random), settings.bounds)
}

fn listen<S>(
    address: SocketAddr,
    service: S,
    limits: Limits,
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
    let serve =
        listen::serve(listener, Arc::new(service), limits, Counters::default(), stop.clone());
    Ok(tokio::spawn(serve))
}
