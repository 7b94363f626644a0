//! Measures entries and prints a table for each subject.

use std::fs;
use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options as _;
use serde::Serialize;

use jackdawpin_testkit::measure::Added;
use jackdawpin_testkit::measure::Control;
use jackdawpin_testkit::measure::Error;
use jackdawpin_testkit::measure::Mixed;
use jackdawpin_testkit::measure::Policy;
use jackdawpin_testkit::measure::Probing;
use jackdawpin_testkit::measure::Table;
use jackdawpin_testkit::measure::Throughput;

/// Subjects, in the order of `all`.
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

/// The result of a run.
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

/// Returns whether all checks passed.
async fn run(flags: &Flags, subjects: &[&str]) -> Result<bool, Error> {
    let mut output =
        Output { trial: flags.trial, conditions: vec![load("before")], tables: vec![] };
    let mut passed = true;
    for subject in subjects {
        eprintln!("measure: {subject}");
        let (tables, ok) = measure(flags, subject).await?;
        passed &= ok;
        if !flags.json {
            print(&tables, flags.trial);
        }
        output.tables.extend(tables);
    }
    output.conditions.push(load("after"));
    if flags.json {
        let text = serde_json::to_string(&output);
        println!("{}", text.map_err(|err| Error::Decode("the result", err.to_string()))?);
    } else {
        println!("{}", output.conditions.join("; "));
    }
    Ok(passed)
}

async fn measure(flags: &Flags, subject: &str) -> Result<(Vec<Table>, bool), Error> {
    match subject {
        "added" => Ok((vec![added(flags).run().await?], true)),
        "throughput" => Ok((vec![throughput(flags).run().await?], true)),
        "mixed" => mixed(flags).run().await,
        "policy" => Ok((policy(flags).run().await?, true)),
        "control" => Ok((control(flags).run().await?, true)),
        _ => Ok((vec![probing(flags).run().await?], true)),
    }
}

fn added(flags: &Flags) -> Added {
    let rates =
        if flags.trial { vec![500.0, 1_000.0] } else { vec![250.0, 500.0, 1_000.0, 2_000.0] };
    let requests = if flags.trial { 3_000 } else { flags.requests };
    Added { rates, requests, work_us: flags.work_us }
}

fn throughput(flags: &Flags) -> Throughput {
    let workers = if flags.trial { vec![1, 8, 32] } else { vec![1, 2, 4, 8, 16, 32, 64, 128] };
    Throughput { workers, time: seconds(flags, 3) }
}

fn mixed(flags: &Flags) -> Mixed {
    let requests = if flags.trial { 5_000 } else { flags.mixed_requests };
    Mixed { entries: flags.entries, requests, rate: flags.mixed_rate }
}

fn policy(flags: &Flags) -> Policy {
    Policy {
        entries: flags.entries,
        servers: flags.servers,
        work: Duration::from_micros(flags.policy_work_us),
        gap: Duration::from_millis(flags.slow_gap_ms),
        shares: vec![0.5, 0.7, 0.85],
        time: seconds(flags, 4),
        seed: flags.seed,
    }
}

fn control(flags: &Flags) -> Control {
    if flags.trial {
        return Control {
            entries: vec![4, 16],
            servers: vec![10, 640],
            running: vec![10],
            services: vec![2, 320],
            exceptions: vec![0, 640],
            time: seconds(flags, 5),
        };
    }
    Control {
        entries: vec![4, 8, 16],
        servers: vec![10, 40, 160, 640],
        running: vec![10, 20, 40],
        services: vec![2, 20, 80, 320],
        exceptions: vec![0, 80, 640],
        time: seconds(flags, 5),
    }
}

fn probing(flags: &Flags) -> Probing {
    let shares = vec![0.0, 0.05, 0.5];
    Probing { entries: flags.entries, servers: flags.servers, shares, time: seconds(flags, 6) }
}

fn seconds(flags: &Flags, trial: u64) -> Duration {
    Duration::from_secs(if flags.trial { trial } else { flags.seconds })
}

fn print(tables: &[Table], trial: bool) {
    for table in tables {
        if trial {
            print!("TRIAL. ");
        }
        println!("{table}");
    }
}

/// How busy the machine is. Other work on it makes latencies worse and CPU times slightly longer.
fn load(when: &str) -> String {
    let average = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let minute = average.split(' ').next().unwrap_or_default().to_owned();
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    format!("load average {when}: {minute} on {cores} cores")
}
