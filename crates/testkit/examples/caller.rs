//! Runs the load generator: sends requests as callers do and reports their outcomes.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options as _;
use quick_error::quick_error;
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use jackdawpin_testkit::caller::Arrivals;
use jackdawpin_testkit::caller::Audit;
use jackdawpin_testkit::caller::Caller;
use jackdawpin_testkit::caller::Error as RunError;
use jackdawpin_testkit::caller::LedgerError;
use jackdawpin_testkit::caller::Options;
use jackdawpin_testkit::caller::Report;
use jackdawpin_testkit::caller::Target;
use jackdawpin_testkit::caller::fetch_ledgers;

quick_error! {
    /// Why the run gave no report.
    #[derive(Debug)]
    enum Error {
        Run(err: RunError) {
            from()
            display("{}", err)
        }
        Ledger(err: LedgerError) {
            from()
            display("{}", err)
        }
        Address(text: String) {
            display("{:?} is not an address of the form IP:PORT", text)
        }
        Encode(err: serde_json::Error) {
            from()
            display("encoding the report: {}", err)
        }
    }
}

/// Sends requests to entries, to servers, or to both in turn.
#[derive(Debug, gumdrop::Options)]
#[options(no_short)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "entries to ask for addresses", meta = "IP:PORT,...")]
    entry: Option<String>,
    #[options(
        help = "send straight to these servers; with --entry, in turn",
        meta = "IP:PORT,..."
    )]
    direct: Option<String>,
    #[options(help = "service to call", default = "service")]
    service: String,
    #[options(help = "path of the calls", default = "/task")]
    path: String,
    #[options(help = "requests per second, in open loop", default = "100")]
    rate: f64,
    #[options(help = "workers in closed loop, instead of --rate", default = "0")]
    workers: usize,
    #[options(help = "seconds for which requests are sent", default = "5")]
    seconds: f64,
    #[options(help = "most requests that are sent", default = "1000000")]
    max_requests: u64,
    #[options(help = "most requests in flight in open loop", default = "1000")]
    max_in_flight: usize,
    #[options(help = "share of idempotent requests, 0 to 1", default = "0.5")]
    idempotent: f64,
    #[options(help = "time that each request has", default = "2000")]
    timeout_ms: u64,
    #[options(help = "bytes in the body of a non-idempotent request", default = "64")]
    body: usize,
    #[options(help = "seed of everything random", default = "1")]
    seed: u64,
    #[options(help = "servers whose ledgers are compared after the run", meta = "IP:PORT,...")]
    ledgers: Option<String>,
    #[options(help = "print the report as JSON")]
    json: bool,
}

#[derive(Serialize)]
struct Output {
    targets: Vec<TargetReport>,
    audit: Option<Audit>,
}

#[derive(Serialize)]
struct TargetReport {
    target: &'static str,
    report: Report,
}

#[tokio::main(worker_threads = 2)]
async fn main() -> ExitCode {
    match run(&Flags::parse_args_default_or_exit()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(err) => {
            eprintln!("caller: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Returns whether the ledgers, if given, are consistent with the outcomes that the caller saw.
async fn run(flags: &Flags) -> Result<bool, Error> {
    let targets = targets(flags)?;
    let target_names = targets.iter().map(|target| match target {
        Target::Entries { .. } => "entries",
        Target::Servers(_) => "direct",
    });
    let caller = Caller::new(options(flags), &targets).await?;
    let records = caller.run(&CancellationToken::new()).await;
    let reports = target_names.enumerate().map(|(index, target)| {
        let target_records = records.iter().filter(|record| record.target == index);
        TargetReport { target, report: Report::from_records(target_records) }
    });
    let targets = reports.collect();
    let audit = match &flags.ledgers {
        Some(list) => {
            Some(Audit::compare(&records, &fetch_ledgers(&parse_addresses(list)?).await?))
        }
        None => None,
    };
    let clean = audit.as_ref().is_none_or(Audit::is_clean);
    print(&Output { targets, audit }, flags.json)?;
    Ok(clean)
}

fn print(output: &Output, json: bool) -> Result<(), Error> {
    if json {
        println!("{}", serde_json::to_string(output)?);
        return Ok(());
    }
    for TargetReport { target, report } in &output.targets {
        println!("{target}: {report}");
    }
    if let Some(audit) = &output.audit {
        println!("{audit}");
    }
    Ok(())
}

fn targets(flags: &Flags) -> Result<Vec<Target>, Error> {
    let mut targets = Vec::new();
    if let Some(list) = &flags.entry {
        let initial = parse_addresses(list)?;
        targets.push(Target::Entries { initial, service: flags.service.clone() });
    }
    if let Some(list) = &flags.direct {
        targets.push(Target::Servers(parse_addresses(list)?));
    }
    Ok(targets)
}

fn options(flags: &Flags) -> Options {
    Options {
        arrivals: match flags.workers {
            0 => Arrivals::Open(flags.rate),
            workers => Arrivals::Closed(workers),
        },
        duration: Duration::from_secs_f64(flags.seconds.max(0.0)),
        max_requests: flags.max_requests,
        max_in_flight: flags.max_in_flight,
        idempotent_share: flags.idempotent,
        timeout: Duration::from_millis(flags.timeout_ms),
        path: flags.path.clone(),
        body_bytes: flags.body,
        seed: flags.seed,
        ..Options::default()
    }
}

fn parse_addresses(list: &str) -> Result<Vec<SocketAddr>, Error> {
    list.split(',').map(|text| text.parse().map_err(|_| Error::Address(text.to_owned()))).collect()
}
