use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use super::Error;
use super::Scrape;
use super::Slope;
use super::Table;
use super::Usage;
use super::setup;
use super::setup::DOMAINS;
use crate::fleet::Fleet;
use crate::fleet::Vm;
use crate::fleet::VmRole;
use crate::fleet::VmState;
use crate::http::fetch;

/// The entry that is measured.
const ENTRY: &str = "e1";
/// The service of the listed servers.
const SERVICE: &str = "lookup";
/// Failure domain of listed servers that are out of service.
const OUT: &str = "d-out";
/// First port of listed servers that do not run. Nothing listens there, so connections are refused at once.
const FIRST_PORT: u16 = 10_000;
/// Time for documents to arrive and leases to settle.
const SETTLE: Duration = Duration::from_secs(6);
/// Bytes of the head of a read's request: request line and two fields.
const READ_REQUEST: f64 = 120.0;
/// Entries, listed servers, services and exceptions that stay the same while another number grows.
const BASE: Size = Size { entries: 4, servers: 10, kind: Kind::Out, services: 2, exceptions: 0 };

/// Measures the control work of one entry without requests while the fleet's size grows.
#[derive(Debug, Clone)]
pub struct Control {
    /// Numbers of entries.
    pub entries: Vec<usize>,
    /// Numbers of listed servers.
    pub servers: Vec<usize>,
    /// Numbers of servers that run.
    pub running: Vec<usize>,
    /// Numbers of services.
    pub services: Vec<usize>,
    /// Numbers of exceptions in the configuration, each of about 150 bytes.
    pub exceptions: Vec<usize>,
    /// Time for each size.
    pub time: Duration,
}

/// What the listed servers are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// They run, are warm and have no work.
    Warm,
    /// They cannot be reached and so count as cold: the holder claims them again and again.
    Cold,
    /// Their failure domain is out of service.
    Out,
}

#[derive(Debug, Clone, Copy)]
struct Size {
    entries: usize,
    servers: usize,
    kind: Kind,
    services: usize,
    exceptions: usize,
}

/// The cost per second of a size.
#[derive(Debug, Clone, Copy)]
struct Cost {
    cpu_percent: f64,
    resident_kib: f64,
    control_bytes: f64,
    platform_bytes: f64,
    config_bytes: f64,
    list_bytes: f64,
    exposition_bytes: f64,
}

impl Control {
    /// Measures all sizes.
    ///
    /// # Errors
    ///
    /// A fleet does not start or ends early.
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
        for (name, sizes, x) in self.axes() {
            let mut points = Vec::new();
            for size in sizes {
                let cost = self.measure(&size).await?;
                costs.row(row(name, &size, &cost));
                points.push((x(&size, &cost), cost));
            }
            slopes.row(slope(name, &points));
        }
        costs.note(format!(
            "{:?} per row. CPU time has steps of 10 ms. \"peers\": bytes that the entry received and sent on control \
             connections. \"platform\": reads x (both documents as sent, with their heads) / 2.",
            self.time
        ));
        slopes.note("Least squares over the rows above.");
        Ok(vec![costs, slopes])
    }

    /// The rows of each part: its name, its sizes, and what is on the x axis.
    #[allow(clippy::type_complexity)]
    fn axes(&self) -> Vec<(&'static str, Vec<Size>, fn(&Size, &Cost) -> f64)> {
        let entries = |kind| move |entries: &usize| Size { entries: *entries, kind, ..BASE };
        let servers = |kind| move |servers: &usize| Size { servers: *servers, kind, ..BASE };
        let services = |services: &usize| Size { services: *services, ..BASE };
        let exceptions = |exceptions: &usize| Size { exceptions: *exceptions, ..BASE };
        vec![
            ("entry", self.entries.iter().map(entries(Kind::Out)).collect(), |size, _| {
                size.entries as f64
            }),
            (
                "entry, with unreachable servers",
                self.entries.iter().map(entries(Kind::Cold)).collect(),
                |size, _| size.entries as f64,
            ),
            (
                "server out of service",
                self.servers.iter().map(servers(Kind::Out)).collect(),
                |size, _| size.servers as f64,
            ),
            (
                "unreachable server",
                self.servers.iter().map(servers(Kind::Cold)).collect(),
                |size, _| size.servers as f64,
            ),
            (
                "warm idle server",
                self.running.iter().map(servers(Kind::Warm)).collect(),
                |size, _| size.servers as f64,
            ),
            ("service", self.services.iter().map(services).collect(), |size, _| {
                size.services as f64
            }),
            ("KB of configuration", self.exceptions.iter().map(exceptions).collect(), |_, cost| {
                cost.config_bytes / 1e3
            }),
        ]
    }

    async fn measure(&self, size: &Size) -> Result<Cost, Error> {
        let running = if size.kind == Kind::Warm { size.servers } else { 0 };
        let service = setup::service(SERVICE, running, &[]);
        let mut fleet = setup::start(size.entries, vec![service], "").await?;
        if running > 0 {
            // A server without any request stays cold for its holder.
            setup::warm(&fleet, SERVICE).await?;
        }
        grow(&mut fleet, size)?;
        tokio::time::sleep(SETTLE).await;
        let process = fleet.process_id(ENTRY)?;
        let control = fleet.control_address(ENTRY)?;
        let before = (Usage::of(process)?, Scrape::of(control).await?, Instant::now());
        tokio::time::sleep(self.time).await;
        let after = (Usage::of(process)?, Scrape::of(control).await?, Instant::now());
        let seconds = (after.2 - before.2).as_secs_f64();
        let reads = after.1.platform_reads() - before.1.platform_reads();
        let (config, list) = (read(&fleet, "config").await?, read(&fleet, "vms").await?);
        let bytes = after.1.control_bytes() - before.1.control_bytes();
        Ok(Cost {
            cpu_percent: (after.0.cpu - before.0.cpu).as_secs_f64() / seconds * 100.0,
            resident_kib: after.0.resident_kib as f64,
            // The first of the two readings of the counters is on the control listener as well.
            control_bytes: (bytes - before.1.size() as f64) / seconds,
            platform_bytes: reads * (config + list) / 2.0 / seconds,
            config_bytes: fleet.documents.config_toml().len() as f64,
            list_bytes: list,
            exposition_bytes: after.1.size() as f64,
        })
    }
}

/// Puts further servers, services and exceptions into the documents.
fn grow(fleet: &mut Fleet, size: &Size) -> Result<(), Error> {
    let ip = fleet.platform_address().ip();
    if size.kind != Kind::Warm {
        for number in 0..size.servers {
            let port = FIRST_PORT + u16::try_from(number).unwrap_or(u16::MAX - FIRST_PORT);
            let address = SocketAddr::new(ip, port);
            let domain = match size.kind {
                Kind::Out => OUT.to_owned(),
                _ => format!("d{}", number % DOMAINS + 1),
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
    fleet.documents.out_domains.push((OUT.to_owned(), "Measurement.".to_owned()));
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

/// Bytes of one read of a document, with the heads of the request and of the answer.
async fn read(fleet: &Fleet, key: &str) -> Result<f64, Error> {
    let target = format!("/v1/kv/jackdawpin/{key}");
    let whole = fetch(fleet.platform_address(), "GET", &target, "", SETTLE).await?;
    let fields = whole.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
    let head = fields.sum::<usize>() + "HTTP/1.1 200 OK\r\n\r\n".len();
    Ok((head + whole.body.len()) as f64 + READ_REQUEST)
}

fn row(name: &str, size: &Size, cost: &Cost) -> Vec<Value> {
    let kind = match size.kind {
        Kind::Warm => "warm",
        Kind::Cold => "cold",
        Kind::Out => "out",
    };
    vec![
        name.into(),
        size.entries.into(),
        size.servers.into(),
        kind.into(),
        size.services.into(),
        (cost.config_bytes / 1e3).into(),
        (cost.list_bytes / 1e3).into(),
        cost.cpu_percent.into(),
        (cost.resident_kib / 1024.0).into(),
        (cost.control_bytes / 1e3).into(),
        (cost.platform_bytes / 1e3).into(),
        (cost.exposition_bytes / 1e3).into(),
    ]
}

fn slope(name: &str, points: &[(f64, Cost)]) -> Vec<Value> {
    let fit = |of: fn(&Cost) -> f64| {
        let points: Vec<(f64, f64)> = points.iter().map(|(x, cost)| (*x, of(cost))).collect();
        Slope::fit(&points).map_or(Value::Null, |line| line.slope.into())
    };
    vec![
        name.into(),
        fit(|cost| cost.cpu_percent),
        fit(|cost| cost.resident_kib),
        fit(|cost| cost.control_bytes),
        fit(|cost| cost.platform_bytes),
    ]
}
