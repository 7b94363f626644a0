use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use super::Error;
use super::LinearFit;
use super::MetricsSnapshot;
use super::ProcessUsage;
use super::Table;
use super::setup;
use super::setup::DOMAIN_COUNT;
use crate::fleet::Fleet;
use crate::fleet::Vm;
use crate::fleet::VmRole;
use crate::fleet::VmState;
use crate::http::fetch;

/// The entry that is measured.
const ENTRY: &str = "e1";
/// The service of the servers in the VM list.
const SERVICE: &str = "lookup";
/// Failure domain of the listed servers that are out of service.
const OUT_DOMAIN: &str = "d-out";
/// First port of the listed servers that do not run. No process listens on these ports, so
/// connections are refused at once.
const FIRST_UNUSED_PORT: u16 = 10_000;
/// Time after a change of the documents until the entries have applied it and hold their leases.
/// Also the timeout of reads from the platform.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Bytes of the head of a request that reads a document: request line and two header fields.
const READ_REQUEST_HEAD_BYTES: f64 = 120.0;
/// The size from which one number at a time is varied.
const BASE_SIZE: FleetSize = FleetSize {
    entries: 4,
    servers: 10,
    server_state: ServerState::Out,
    services: 2,
    exceptions: 0,
};

/// Measures the cost of one entry's control traffic and background work, without requests, for
/// fleets of different sizes.
#[derive(Debug, Clone)]
pub struct ControlCost {
    /// The numbers of entries to measure.
    pub entry_counts: Vec<usize>,
    /// The numbers of listed servers to measure, out of service or unreachable.
    pub listed_server_counts: Vec<usize>,
    /// The numbers of running servers to measure.
    pub running_server_counts: Vec<usize>,
    /// The numbers of services to measure.
    pub service_counts: Vec<usize>,
    /// The numbers of exceptions in the configuration to measure, each of about 150 bytes.
    pub exception_counts: Vec<usize>,
    /// Duration of the measurement of each size.
    pub duration: Duration,
}

/// The state of the listed servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServerState {
    /// They run, are warm and idle.
    Warm,
    /// They are unreachable and so stay cold; their holder claims them again and again.
    Cold,
    /// Their failure domain is out of service.
    Out,
}

/// The size of a fleet and of its documents.
#[derive(Debug, Clone, Copy)]
struct FleetSize {
    entries: usize,
    servers: usize,
    server_state: ServerState,
    services: usize,
    exceptions: usize,
}

/// The measured cost of a fleet of some size; traffic is in bytes per second.
#[derive(Debug, Clone, Copy)]
struct Cost {
    cpu_percent: f64,
    resident_kib: f64,
    peer_bytes_per_second: f64,
    platform_bytes_per_second: f64,
    config_bytes: f64,
    vm_list_read_bytes: f64,
    metrics_text_bytes: f64,
}

impl ControlCost {
    /// Measures all sizes, each with a fleet of its own.
    ///
    /// # Errors
    ///
    /// A fleet does not start or exits early.
    pub async fn run(&self) -> Result<Vec<Table>, Error> {
        let mut costs = Table::new(
            "Control cost of one entry without requests",
            &[
                "grows",
                "entries",
                "listed servers",
                "their state",
                "services",
                "configuration (KB)",
                "VM list (KB)",
                "CPU (% of a core)",
                "VmRSS (MB)",
                "peers (KB/s)",
                "platform (KB/s)",
                "metrics text (KB)",
            ],
        );
        let mut slopes = Table::new(
            "Slopes of the control cost",
            &["per", "CPU (% of a core)", "memory (KB)", "peers (B/s)", "platform (B/s)"],
        );
        for (name, sizes, x_value) in self.series() {
            let mut points = Vec::new();
            for size in sizes {
                let cost = self.measure(&size).await?;
                costs.add_row(cost_row(name, &size, &cost));
                points.push((x_value(&size, &cost), cost));
            }
            slopes.add_row(slope_row(name, &points));
        }
        costs.add_note(format!(
            "{:?} per row. CPU time has steps of 10 ms. \"peers\": bytes that the entry received \
             and sent on control \
             connections. \"platform\": reads x (both documents as sent, with their heads) / 2.",
            self.duration
        ));
        slopes.add_note("Least squares over the rows above.");
        Ok(vec![costs, slopes])
    }

    /// The series of measurements: each has its name, its sizes, and the x value of a measurement
    /// for the slope.
    #[allow(clippy::type_complexity)]
    fn series(&self) -> Vec<(&'static str, Vec<FleetSize>, fn(&FleetSize, &Cost) -> f64)> {
        let entries = |server_state| {
            move |entries: &usize| FleetSize { entries: *entries, server_state, ..BASE_SIZE }
        };
        let servers = |server_state| {
            move |servers: &usize| FleetSize { servers: *servers, server_state, ..BASE_SIZE }
        };
        let services = |services: &usize| FleetSize { services: *services, ..BASE_SIZE };
        let exceptions = |exceptions: &usize| FleetSize { exceptions: *exceptions, ..BASE_SIZE };
        vec![
            (
                "entry",
                self.entry_counts.iter().map(entries(ServerState::Out)).collect(),
                |size, _| size.entries as f64,
            ),
            (
                "entry, with unreachable servers",
                self.entry_counts.iter().map(entries(ServerState::Cold)).collect(),
                |size, _| size.entries as f64,
            ),
            (
                "server out of service",
                self.listed_server_counts.iter().map(servers(ServerState::Out)).collect(),
                |size, _| size.servers as f64,
            ),
            (
                "unreachable server",
                self.listed_server_counts.iter().map(servers(ServerState::Cold)).collect(),
                |size, _| size.servers as f64,
            ),
            (
                "warm idle server",
                self.running_server_counts.iter().map(servers(ServerState::Warm)).collect(),
                |size, _| size.servers as f64,
            ),
            ("service", self.service_counts.iter().map(services).collect(), |size, _| {
                size.services as f64
            }),
            (
                "KB of configuration",
                self.exception_counts.iter().map(exceptions).collect(),
                |_, cost| cost.config_bytes / 1e3,
            ),
        ]
    }

    /// Starts a fleet of this size and measures the cost of one of its entries.
    async fn measure(&self, size: &FleetSize) -> Result<Cost, Error> {
        let running = if size.server_state == ServerState::Warm { size.servers } else { 0 };
        let service = setup::service(SERVICE, running, &[]);
        let mut fleet = setup::start(size.entries, vec![service], "").await?;
        if running > 0 {
            // A server that has received no request remains cold for its holder.
            setup::warm_up(&fleet, SERVICE).await?;
        }
        extend_documents(&mut fleet, size)?;
        tokio::time::sleep(SETTLE_TIME).await;
        let process_id = fleet.process_id(ENTRY)?;
        let control_address = fleet.control_address(ENTRY)?;
        let before = (
            ProcessUsage::read(process_id)?,
            MetricsSnapshot::fetch(control_address).await?,
            Instant::now(),
        );
        tokio::time::sleep(self.duration).await;
        let after = (
            ProcessUsage::read(process_id)?,
            MetricsSnapshot::fetch(control_address).await?,
            Instant::now(),
        );
        let seconds = (after.2 - before.2).as_secs_f64();
        let reads = after.1.platform_reads() - before.1.platform_reads();
        let (config_read_bytes, vm_list_read_bytes) =
            (read_bytes(&fleet, "config").await?, read_bytes(&fleet, "vms").await?);
        let bytes = after.1.control_bytes() - before.1.control_bytes();
        Ok(Cost {
            cpu_percent: (after.0.cpu_time - before.0.cpu_time).as_secs_f64() / seconds * 100.0,
            resident_kib: after.0.resident_kib as f64,
            // The answer to the first of the two reads of the metrics went over the control
            // listener, too, and is not part of the cost.
            peer_bytes_per_second: (bytes - before.1.size_bytes() as f64) / seconds,
            platform_bytes_per_second: reads * (config_read_bytes + vm_list_read_bytes)
                / 2.0
                / seconds,
            config_bytes: fleet.documents.config_toml().len() as f64,
            vm_list_read_bytes,
            metrics_text_bytes: after.1.size_bytes() as f64,
        })
    }
}

/// Adds the listed servers, services and exceptions of a size to the documents and publishes them.
fn extend_documents(fleet: &mut Fleet, size: &FleetSize) -> Result<(), Error> {
    let ip = fleet.platform_address().ip();
    if size.server_state != ServerState::Warm {
        for number in 0..size.servers {
            let port =
                FIRST_UNUSED_PORT + u16::try_from(number).unwrap_or(u16::MAX - FIRST_UNUSED_PORT);
            let address = SocketAddr::new(ip, port);
            let domain = match size.server_state {
                ServerState::Out => OUT_DOMAIN.to_owned(),
                _ => format!("d{}", number % DOMAIN_COUNT + 1),
            };
            fleet.documents.vms.push(Vm {
                name: format!("listed-{number}"),
                role: VmRole::Server { service: SERVICE.to_owned(), address },
                domain,
                region: "r1".to_owned(),
                state: VmState::Live,
            });
        }
    }
    fleet.documents.out_domains.push((OUT_DOMAIN.to_owned(), "Measurement.".to_owned()));
    for number in 1..size.services {
        fleet.documents.service_names.push(format!("service-{number}"));
    }
    for number in 0..size.exceptions {
        // Writing to a string does not fail.
        let _ = write!(
            fleet.documents.extra_toml,
            "\n[[exception]]\nservice = {SERVICE:?}\nserver = \"older-{number}\"\nslots = 2\n\
             reason = \"Older VM type with half the memory until its replacement.\"\n"
        );
    }
    fleet.documents.publish_vm_list()?;
    fleet.documents.publish_config()?;
    Ok(())
}

/// Number of bytes of one read of a document, including the heads of the request and of the answer.
async fn read_bytes(fleet: &Fleet, key: &str) -> Result<f64, Error> {
    let target = format!("/v1/kv/jackdawpin/{key}");
    let answer = fetch(fleet.platform_address(), "GET", &target, "", SETTLE_TIME).await?;
    let field_bytes =
        answer.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
    let head_bytes = field_bytes.sum::<usize>() + "HTTP/1.1 200 OK\r\n\r\n".len();
    Ok((head_bytes + answer.body.len()) as f64 + READ_REQUEST_HEAD_BYTES)
}

fn cost_row(name: &str, size: &FleetSize, cost: &Cost) -> Vec<Value> {
    let server_state = match size.server_state {
        ServerState::Warm => "warm",
        ServerState::Cold => "cold",
        ServerState::Out => "out",
    };
    vec![
        name.into(),
        size.entries.into(),
        size.servers.into(),
        server_state.into(),
        size.services.into(),
        (cost.config_bytes / 1e3).into(),
        (cost.vm_list_read_bytes / 1e3).into(),
        cost.cpu_percent.into(),
        (cost.resident_kib / 1024.0).into(),
        (cost.peer_bytes_per_second / 1e3).into(),
        (cost.platform_bytes_per_second / 1e3).into(),
        (cost.metrics_text_bytes / 1e3).into(),
    ]
}

/// The row of slopes of one series: the increase of each cost per unit of x.
fn slope_row(name: &str, points: &[(f64, Cost)]) -> Vec<Value> {
    let slope = |value: fn(&Cost) -> f64| {
        let points: Vec<(f64, f64)> = points.iter().map(|(x, cost)| (*x, value(cost))).collect();
        LinearFit::fit(&points).map_or(Value::Null, |line| line.slope.into())
    };
    vec![
        name.into(),
        slope(|cost| cost.cpu_percent),
        slope(|cost| cost.resident_kib),
        slope(|cost| cost.peer_bytes_per_second),
        slope(|cost| cost.platform_bytes_per_second),
    ]
}
