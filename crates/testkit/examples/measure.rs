//! Measures the latency, cost and behaviour of entries, and prints tables of the results.

use std::fs;
use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options as _;
use serde::Serialize;

use jackdawpin_testkit::measure::AddedLatency;
use jackdawpin_testkit::measure::ControlCost;
use jackdawpin_testkit::measure::DegradedService;
use jackdawpin_testkit::measure::Error;
use jackdawpin_testkit::measure::MixedLoad;
use jackdawpin_testkit::measure::ProbeCost;
use jackdawpin_testkit::measure::Table;
use jackdawpin_testkit::measure::Throughput;

/// The subjects of measurement, in the order in which `all` runs them.
const SUBJECTS: [&str; 6] = ["added", "throughput", "mixed", "policy", "control", "measuring"];

/// Measures entries. WHAT is added, throughput, mixed, policy, control, measuring or all.
#[derive(Debug, gumdrop::Options)]
#[options(no_short)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "what to measure")]
    what: String,
    #[options(help = "print one JSON object")]
    json: bool,
    #[options(help = "a trial: few requests and little time, to check that the tool works")]
    trial: bool,
    #[options(help = "added: requests for each way and rate", default = "50000")]
    requests: u64,
    #[options(help = "added: fixed time of work in microseconds; 0 uses no timer", default = "0")]
    work_us: u64,
    #[options(help = "mixed: requests in all", default = "100000")]
    mixed_requests: u64,
    #[options(help = "mixed: requests per second in all", default = "1500")]
    mixed_rate: f64,
    #[options(help = "mixed, policy, measuring: entries", default = "4")]
    entries: usize,
    #[options(help = "policy, measuring: servers", default = "12")]
    servers: usize,
    #[options(help = "policy: mean time of work in microseconds", default = "10000")]
    policy_work_us: u64,
    #[options(help = "policy: mean time between two slow times of a server", default = "5000")]
    slow_gap_ms: u64,
    #[options(help = "seconds per step of each subject but added and mixed", default = "20")]
    seconds: u64,
    #[options(help = "seed of everything random", default = "1")]
    seed: u64,
}

/// The results of a run, as they are printed with `--json`.
#[derive(Serialize)]
struct Output {
    trial: bool,
    conditions: Vec<String>,
    tables: Vec<Table>,
}

#[tokio::main(worker_threads = 3)]
async fn main() -> ExitCode {
    let flags = Flags::parse_args_default_or_exit();
    let subjects = match flags.what.as_str() {
        "all" => SUBJECTS.to_vec(),
        what if SUBJECTS.contains(&what) => vec![what],
        what => {
            eprintln!("measure: {what:?} is not one of {} and all", SUBJECTS.join(", "));
            return ExitCode::FAILURE;
        }
    };
    match run(&flags, &subjects).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(err) => {
            eprintln!("measure: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Measures the subjects. Returns whether all checks of their results passed.
async fn run(flags: &Flags, subjects: &[&str]) -> Result<bool, Error> {
    let mut output =
        Output { trial: flags.trial, conditions: vec![load_average("before")], tables: vec![] };
    let mut passed = true;
    for subject in subjects {
        eprintln!("measure: {subject}");
        let (tables, subject_passed) = measure(flags, subject).await?;
        passed &= subject_passed;
        if !flags.json {
            print_tables(&tables, flags.trial);
        }
        output.tables.extend(tables);
    }
    output.conditions.push(load_average("after"));
    if flags.json {
        let text = serde_json::to_string(&output);
        println!("{}", text.map_err(|err| Error::Decode("the result", err.to_string()))?);
    } else {
        println!("{}", output.conditions.join("; "));
    }
    Ok(passed)
}

/// Measures one subject. The second value is false if a check of its results failed.
async fn measure(flags: &Flags, subject: &str) -> Result<(Vec<Table>, bool), Error> {
    match subject {
        "added" => Ok((vec![added_latency(flags).run().await?], true)),
        "throughput" => Ok((vec![throughput(flags).run().await?], true)),
        "mixed" => mixed_load(flags).run().await,
        "policy" => Ok((degraded_service(flags).run().await?, true)),
        "control" => Ok((control_cost(flags).run().await?, true)),
        _ => Ok((vec![probe_cost(flags).run().await?], true)),
    }
}

fn added_latency(flags: &Flags) -> AddedLatency {
    let rates =
        if flags.trial { vec![500.0, 1_000.0] } else { vec![250.0, 500.0, 1_000.0, 2_000.0] };
    let requests_per_target = if flags.trial { 3_000 } else { flags.requests };
    AddedLatency { rates, requests_per_target, work_us: flags.work_us }
}

fn throughput(flags: &Flags) -> Throughput {
    let in_flight_counts =
        if flags.trial { vec![1, 8, 32] } else { vec![1, 2, 4, 8, 16, 32, 64, 128] };
    Throughput { in_flight_counts, load_duration: step_duration(flags, 3) }
}

fn mixed_load(flags: &Flags) -> MixedLoad {
    let total_requests = if flags.trial { 5_000 } else { flags.mixed_requests };
    MixedLoad { entry_count: flags.entries, total_requests, total_rate: flags.mixed_rate }
}

fn degraded_service(flags: &Flags) -> DegradedService {
    DegradedService {
        entry_count: flags.entries,
        server_count: flags.servers,
        mean_work: Duration::from_micros(flags.policy_work_us),
        mean_slowdown_gap: Duration::from_millis(flags.slow_gap_ms),
        load_shares: vec![0.5, 0.7, 0.85],
        phase_duration: step_duration(flags, 4),
        seed: flags.seed,
    }
}

fn control_cost(flags: &Flags) -> ControlCost {
    if flags.trial {
        return ControlCost {
            entry_counts: vec![4, 16],
            listed_server_counts: vec![10, 640],
            running_server_counts: vec![10],
            service_counts: vec![2, 320],
            exception_counts: vec![0, 640],
            duration: step_duration(flags, 5),
        };
    }
    ControlCost {
        entry_counts: vec![4, 8, 16],
        listed_server_counts: vec![10, 40, 160, 640],
        running_server_counts: vec![10, 20, 40],
        service_counts: vec![2, 20, 80, 320],
        exception_counts: vec![0, 80, 640],
        duration: step_duration(flags, 5),
    }
}

fn probe_cost(flags: &Flags) -> ProbeCost {
    let load_shares = vec![0.0, 0.05, 0.5];
    ProbeCost {
        entry_count: flags.entries,
        server_count: flags.servers,
        load_shares,
        load_duration: step_duration(flags, 6),
    }
}

/// Duration of a step: from the flags, or `trial_seconds` in a trial.
fn step_duration(flags: &Flags, trial_seconds: u64) -> Duration {
    Duration::from_secs(if flags.trial { trial_seconds } else { flags.seconds })
}

/// Prints tables in Markdown; those of a trial are marked as such.
fn print_tables(tables: &[Table], trial: bool) {
    for table in tables {
        if trial {
            print!("TRIAL. ");
        }
        println!("{table}");
    }
}

/// Describes the load of the machine: other work on it increases latencies and slightly increases
/// CPU times.
fn load_average(when: &str) -> String {
    let averages = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let one_minute = averages.split(' ').next().unwrap_or_default().to_owned();
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    format!("load average {when}: {one_minute} on {cores} cores")
}
