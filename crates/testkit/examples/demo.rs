//! Demonstration: a small fleet under load while one server becomes slow, another is drained, and a
//! failure domain is taken out of service and put back.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options as _;
use quick_error::quick_error;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use jackdawpin_testkit::caller::Arrivals;
use jackdawpin_testkit::caller::Audit;
use jackdawpin_testkit::caller::Caller;
use jackdawpin_testkit::caller::Error as CallerError;
use jackdawpin_testkit::caller::LedgerError;
use jackdawpin_testkit::caller::Options;
use jackdawpin_testkit::caller::Record;
use jackdawpin_testkit::caller::Report;
use jackdawpin_testkit::caller::ServerLedger;
use jackdawpin_testkit::caller::Target;
use jackdawpin_testkit::caller::fetch_ledger;
use jackdawpin_testkit::fleet::Error as FleetError;
use jackdawpin_testkit::fleet::Fleet;
use jackdawpin_testkit::fleet::Layout;
use jackdawpin_testkit::fleet::Service;
use jackdawpin_testkit::fleet::VmRole;
use jackdawpin_testkit::fleet::VmState;
use jackdawpin_testkit::fleet::fetch_timeline;
use jackdawpin_testkit::fleet::merge_timelines;

/// The services: name, and share of idempotent requests.
const SERVICES: [(&str, f64); 2] = [("lookup", 0.9), ("orders", 0.2)];
/// Number of failure domains.
const DOMAIN_COUNT: usize = 4;
/// Failure domain that is taken out of service and put back.
const REMOVED_DOMAIN: &str = "d2";
/// Server that becomes slow.
const SLOW_SERVER: &str = "lookup-1";
/// Server that is drained.
const DRAINED_SERVER: &str = "lookup-3";
/// Time after a change of the configuration within which new work may still arrive in the removed
/// failure domain.
const CHANGE_GRACE: Duration = Duration::from_secs(2);
/// Time within which the entries must become ready, and a drained server must exit.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);
/// Most entries that the demonstration starts.
const MAX_ENTRIES: usize = 16;

quick_error! {
    /// Failure of the demonstration.
    #[derive(Debug)]
    enum Error {
        Fleet(err: FleetError) {
            from()
            display("{}", err)
        }
        Caller(err: CallerError) {
            from()
            display("{}", err)
        }
        Ledger(err: LedgerError) {
            from()
            display("{}", err)
        }
        Task(err: tokio::task::JoinError) {
            from()
            display("a task failed: {}", err)
        }
    }
}

/// Shows what the load balancer does.
#[derive(Debug, gumdrop::Options)]
#[options(no_short)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "number of entries, at most 16", default = "4")]
    entries: usize,
    #[options(help = "servers per service", default = "8")]
    servers: usize,
    #[options(help = "requests per second and service", default = "200")]
    rate: f64,
    #[options(help = "seconds per phase, at least 3", default = "4")]
    seconds: u64,
    #[options(help = "mean time of work on a server, in microseconds", default = "5000")]
    work_us: u64,
    #[options(help = "seed of everything random", default = "1")]
    seed: u64,
    #[options(help = "events of the time line that are printed", default = "40")]
    events: usize,
}

/// A phase of the run.
struct Phase {
    name: &'static str,
    /// Time from the start of the load to the start of the phase.
    start: Duration,
}

#[tokio::main(worker_threads = 2)]
async fn main() -> ExitCode {
    match run(&Flags::parse_args_default_or_exit()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(err) => {
            eprintln!("demo: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the demonstration. Returns whether the comparison of the callers' records with the servers'
/// ledgers found no fault.
async fn run(flags: &Flags) -> Result<bool, Error> {
    let mut fleet = Fleet::start(layout(flags)).await?;
    println!(
        "starting {} entries for {} servers",
        flags.entries.min(MAX_ENTRIES),
        fleet.server_addresses(None).len()
    );
    fleet.start_entries(PROCESS_TIMEOUT).await?;
    let start = tokio::time::Instant::now();
    let stop = CancellationToken::new();
    let mut loads = Vec::new();
    for (number, (service, idempotent)) in SERVICES.into_iter().enumerate() {
        loads.push(start_load(&fleet, flags, number as u64, service, idempotent, &stop).await?);
    }
    let phases = run_phases(&mut fleet, Duration::from_secs(flags.seconds.max(3)), start).await;
    stop.cancel();
    let mut records = BTreeMap::new();
    for ((service, _), load) in SERVICES.into_iter().zip(loads) {
        records.insert(service, load.await?);
    }
    print_phases(&phases?, &records);
    print_timeline(&fleet, flags.events).await;
    let ledgers = fleet.ledgers()?;
    print_servers(&ledgers);
    let audit = Audit::compare(records.values().flatten(), &ledgers);
    println!("\n{audit}");
    Ok(audit.is_clean())
}

fn layout(flags: &Flags) -> Layout {
    let service = |(name, _): (&str, f64)| Service {
        name: name.to_owned(),
        server_count: flags.servers,
        server_flags: vec![format!("--work-us={}", flags.work_us)],
    };
    Layout {
        domain_count: DOMAIN_COUNT,
        entry_count: flags.entries.clamp(1, MAX_ENTRIES),
        services: SERVICES.into_iter().map(service).collect(),
        server_seed: flags.seed,
        ..Layout::default()
    }
}

/// Starts the load of one service.
async fn start_load(
    fleet: &Fleet,
    flags: &Flags,
    number: u64,
    service: &str,
    idempotent: f64,
    stop: &CancellationToken,
) -> Result<JoinHandle<Vec<Record>>, Error> {
    let options = Options {
        arrivals: Arrivals::Open(flags.rate),
        duration: Duration::from_secs(3_600),
        idempotent_share: idempotent,
        seed: flags.seed + number,
        ..Options::default()
    };
    let target = Target::Entries { initial: fleet.entry_addresses(), service: service.to_owned() };
    let caller = Caller::new(options, &[target]).await?;
    let stop = stop.clone();
    Ok(tokio::spawn(async move { caller.run(&stop).await }))
}

/// Runs the phases, each for about `time`, and returns when each began. The last one marks the end.
async fn run_phases(
    fleet: &mut Fleet,
    time: Duration,
    start: tokio::time::Instant,
) -> Result<Vec<Phase>, Error> {
    let mut phases = Vec::new();
    let mut begin = |name: &'static str| {
        println!("{:>7.2} s  {name}", start.elapsed().as_secs_f64());
        phases.push(Phase { name, start: start.elapsed() });
    };
    begin("all servers start cold");
    tokio::time::sleep(time).await;

    begin("nothing happens");
    tokio::time::sleep(time).await;

    begin("lookup-1 takes 8 times as long");
    let slow = format!("/test/slow?factor=8&ms={}", time.as_millis());
    fleet.post_control(SLOW_SERVER, &slow).await?;
    tokio::time::sleep(time).await;

    begin("lookup-3 is drained");
    fleet.terminate(DRAINED_SERVER)?;
    tokio::time::sleep(time / 2).await;
    fleet.set_vm_state(DRAINED_SERVER, VmState::Leaving)?;
    tokio::time::sleep(time / 2).await;
    fleet.wait_exit(DRAINED_SERVER, PROCESS_TIMEOUT).await?;

    begin("failure domain d2 is taken out of service");
    fleet.documents.out_domains.push((REMOVED_DOMAIN.to_owned(), "power maintenance".to_owned()));
    fleet.documents.publish_config()?;
    tokio::time::sleep(CHANGE_GRACE).await;
    let before = fetch_received(fleet).await?;
    tokio::time::sleep(time.saturating_sub(CHANGE_GRACE)).await;
    let after = fetch_received(fleet).await?;
    println!(
        "           new work on {REMOVED_DOMAIN} later than {CHANGE_GRACE:?} after the change: {}",
        after - before
    );

    begin("failure domain d2 returns");
    fleet.documents.out_domains.clear();
    fleet.documents.publish_config()?;
    tokio::time::sleep(time).await;
    begin("the end");
    Ok(phases)
}

/// Number of requests that the servers of the removed failure domain have received so far.
async fn fetch_received(fleet: &Fleet) -> Result<u64, Error> {
    let mut total = 0;
    let servers = fleet
        .vm_names(|vm| vm.domain == REMOVED_DOMAIN && matches!(vm.role, VmRole::Server { .. }));
    for name in servers {
        total += fetch_ledger(fleet.request_address(&name)?).await?.counts.received;
    }
    Ok(total)
}

/// Prints a report on the requests of each phase and on those of the whole run.
fn print_phases(phases: &[Phase], records: &BTreeMap<&str, Vec<Record>>) {
    for pair in phases.windows(2) {
        let [phase, next] = pair else { continue };
        println!("\n{}", phase.name);
        for (service, records) in records {
            let in_phase =
                records.iter().filter(|record| (phase.start..next.start).contains(&record.at));
            println!(
                "  {service}: {}",
                Report::from_records(in_phase).to_string().replace('\n', "\n    ")
            );
        }
    }
    for (service, records) in records {
        println!("\nwhole run, {service}: {}", Report::from_records(records));
    }
}

/// Prints each server's counts.
fn print_servers(ledgers: &[ServerLedger]) {
    println!("\nservers: requests started, overruns while cold, new work while draining");
    for ServerLedger { counts, .. } in ledgers {
        let (started, overrun) = (counts.started, counts.overrun);
        println!("  {:<10} {started:>8} {overrun:>4} {:>4}", counts.name, counts.while_draining);
    }
}

/// Prints the last `max_events` events of all entries, ordered by their time stamps.
async fn print_timeline(fleet: &Fleet, max_events: usize) {
    let mut pages = Vec::new();
    for control in fleet.control_addresses() {
        match fetch_timeline(control).await {
            Ok(page) => pages.push(page),
            Err(err) => println!("no time line from {control}: {err}"),
        }
    }
    let events = merge_timelines(pages);
    let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
    for recorded in &events {
        *kinds.entry(&recorded.event.kind).or_default() += 1;
    }
    println!("\ntime line: {} events, by kind {kinds:?}", events.len());
    let Some(first) = events.first() else { return };
    for recorded in events.iter().skip(events.len().saturating_sub(max_events)) {
        let millis = recorded.event.stamp.millis.saturating_sub(first.event.stamp.millis);
        println!("  {:>8.3} s {:>4} {}", millis as f64 / 1e3, recorded.vm, recorded.event.text);
    }
}
