//! Runs the test double of a server as a separate process.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options as _;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

use jackdawpin_testkit::http::Limits;
use jackdawpin_testkit::server::Adapter;
use jackdawpin_testkit::server::Journal;
use jackdawpin_testkit::server::Options;
use jackdawpin_testkit::server::Work;

/// Serves requests as a server of a service.
#[derive(Debug, gumdrop::Options)]
#[options(no_short)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", meta = "IP:PORT", required)]
    listen: Option<SocketAddr>,
    #[options(help = "name in the ledger", default = "server")]
    name: String,
    #[options(help = "requests that run at once", default = "3")]
    slots: usize,
    #[options(help = "requests that may wait for a slot", default = "2")]
    queue: usize,
    #[options(help = "connections that may be open", default = "250")]
    connections: usize,
    #[options(help = "time before a new connection is served, in microseconds", default = "1000")]
    connect_us: u64,
    #[options(help = "mean time of work, in microseconds", default = "5000")]
    work_us: u64,
    #[options(help = "work always takes the mean time, else it is exponential")]
    fixed: bool,
    #[options(help = "multiple of the time of work while cold", default = "1")]
    cold_factor: f64,
    #[options(help = "seed of everything random", default = "1")]
    seed: u64,
    #[options(help = "start warm")]
    warm: bool,
    #[options(help = "requests after which a cold server is warm", default = "10")]
    warm_requests: u32,
    #[options(help = "time after which a cold server is warm", default = "10000")]
    warm_ms: u64,
    #[options(help = "time for which a server that fell over fails", default = "500")]
    fall_ms: u64,
    #[options(help = "age of the state that probes see", default = "0")]
    lag_ms: u64,
    #[options(help = "time of a probe", default = "5")]
    probe_ms: u64,
    #[options(help = "bytes added to each answer", default = "0")]
    padding: usize,
    #[options(help = "file to which the ledger is written", meta = "FILE")]
    journal: Option<PathBuf>,
    #[options(help = "shortest time between SIGTERM and the exit", default = "1000")]
    drain_ms: u64,
}

impl Flags {
    fn options(&self) -> Options {
        let mean = Duration::from_micros(self.work_us);
        Options {
            name: self.name.clone(),
            slots: self.slots,
            queue: self.queue,
            work: if self.fixed { Work::Fixed(mean) } else { Work::Exponential(mean) },
            cold_factor: self.cold_factor,
            seed: self.seed,
            warm: self.warm,
            warm_requests: self.warm_requests,
            warm_time: Duration::from_millis(self.warm_ms),
            outage_time: Duration::from_millis(self.fall_ms),
            probe_lag: Duration::from_millis(self.lag_ms),
            boot: u64::from(fastrand::u32(1..)),
        }
    }

    fn limits(&self) -> Limits {
        let connect_delay = Duration::from_micros(self.connect_us);
        Limits { max_connections: self.connections, connect_delay }
    }
}

#[tokio::main(worker_threads = 1)]
async fn main() -> ExitCode {
    match run(Flags::parse_args_default_or_exit()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("server: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn run(flags: Flags) -> io::Result<()> {
    let listen = flags.listen.ok_or(io::ErrorKind::InvalidInput)?;
    let cancel = CancellationToken::new();
    let probe_time = Duration::from_millis(flags.probe_ms);
    let adapter = Adapter::with_probe_time(flags.options(), probe_time, flags.padding);
    if let Some(file) = &flags.journal {
        adapter.set_journal(Journal::open(file)?);
    }
    let running = adapter.start(listen, flags.limits(), &cancel).await?;
    eprintln!("server {}: listening on {}", flags.name, running.address);
    signal(SignalKind::terminate())?.recv().await;
    eprintln!("server {}: draining", flags.name);
    let min_drain_time = tokio::time::sleep(Duration::from_millis(flags.drain_ms));
    tokio::join!(adapter.drain(), min_drain_time);
    cancel.cancel();
    running.task.await.map_err(io::Error::other)?;
    eprintln!("server {}: drained", flags.name);
    Ok(())
}
