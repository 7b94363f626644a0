//! Plays one case of the review: starts the program under review between stand-ins of the platform,
//! servers and clients, and checks one rule.
//!
//! `standin CASE RECORD`, in the root of the project. `TROUBLE=0` plays it without the disruption.
//! Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod client;
mod gateway;
mod http;
mod server;
mod store;

use std::fs::File;
use std::io::Write;
use std::process::exit;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use client::Answer;
use gateway::Gateway;
use gateway::Ports;
use gateway::Start;
use server::LONG_LINES;
use server::Manner;
use server::Server;
use server::whole_body;
use store::Store;

const DEADLINE: Duration = Duration::from_millis(2_000);

/// Length of a long request: more than the buffers of a connection hold.
const LONG_BODY_BYTES: usize = 6 << 20;

/// Bounds of the site, as its settings state them.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);

/// A site of one service with one route for requests that may run at most once.
struct Site {
    store: Store,
    servers: Vec<Server>,
    entries: Vec<Gateway>,
    ports: Ports,
    folder: String,
}

impl Site {
    /// Starts `entries` entries, and a server of the service `desk` with each of `manners`.
    fn start(entries: u8, manners: &[Manner]) -> Self {
        Self::start_with(entries, manners, &config(1, "desk", 0), |_| "desk")
    }

    /// Starts a site with this configuration. `service` returns the service of each server.
    fn start_with(
        entries: u8,
        manners: &[Manner],
        config: &str,
        service: impl Fn(usize) -> &'static str,
    ) -> Self {
        let folder = std::env::temp_dir();
        let folder = folder.to_str().expect("temporary folder").to_owned();
        let store = Store::start();
        store.put("op/config", config);
        let servers: Vec<Server> = manners
            .iter()
            .enumerate()
            .map(|(index, trouble)| Server::start(&format!("i-{index:04x}"), *trouble))
            .collect();
        for (index, server) in servers.iter().enumerate() {
            store.put(&format!("servers/{}", server.name), &server.item(service(index)));
        }
        let ports = Ports::find(entries);
        let seeds: Vec<u8> = (1..=entries.min(3)).collect();
        let start = |number| Start { number, seeds: &seeds, first: true, store: store.address };
        let entries: Vec<Gateway> =
            (1..=entries).map(|number| Gateway::start(&start(number), &ports, &folder)).collect();
        let site = Self { store, servers, entries, ports, folder };
        if !site.entries.iter().all(Gateway::wait_until_ready) {
            eprintln!("an entry is not ready; see its log");
            site.end(2);
        }
        thread::sleep(Duration::from_secs(1));
        site
    }

    fn runs(&self, id: &str) -> u32 {
        self.servers.iter().map(|server| server.runs(id)).sum()
    }

    /// Ends all processes and the program. The case could not run if an entry ended by itself.
    fn end(mut self, code: i32) -> ! {
        let crashed = self.entries.iter_mut().any(Gateway::has_ended);
        self.entries.clear();
        exit(if crashed { 2 } else { code })
    }
}

/// A configuration whose route for orders goes to `service`, with `idle` routes beside it.
fn config(version: u32, service: &str, idle: usize) -> String {
    let services = ["desk", "depot"].map(|name| {
        format!(
            r#"{{"name":"{name}","healthPath":"/health","maxConns":240,"protocol":"h1","tls":false,"warmup":"3s","warmupPerS":7.3}}"#
        )
    });
    let mut routes = vec![route("orders", "/orders/", service)];
    routes.extend(
        (0..idle)
            .map(|number| route(&format!("idle-{number}"), &format!("/idle-{number}/"), "desk")),
    );
    format!(
        r#"{{"version":"{version:08x}","services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"hosts":[{{"host":"desk.example","paths":[{}]}}]}}"#,
        services.join(","),
        routes.join(",")
    )
}

fn route(name: &str, prefix: &str, service: &str) -> String {
    format!(
        r#"{{"name":"{name}","prefix":"{prefix}","kind":"unsafe","timeout":"1000ms","targetLatency":"400ms","priority":1,"service":"{service}","maxAttempts":2}}"#
    )
}

/// REFUSED: some servers fail a part of their requests at the end of their work, with status 503 and
/// without `X-Not-Executed`.
fn fails_late(record: &mut File, trouble: bool) -> ! {
    let mut manners = vec![Manner::Sound; 8];
    if trouble {
        manners[0] = Manner::FailsLate;
    }
    let site = Site::start(2, &manners);
    let mut broken = 0;
    for number in 0..400 {
        let id = format!("{number:016x}");
        let entry = &site.entries[number % site.entries.len()];
        let answer = client::send(entry.front, "POST", "/orders/1", &id, DEADLINE, b"an order");
        let status = answer.map_or(0, |answer| answer.status);
        let runs = site.runs(&id);
        let breaks = matches!(status, 408 | 421 | 429 | 503) && runs > 0;
        broken += u32::from(breaks);
        let mark = if breaks { " BROKEN: said not to have run" } else { "" };
        let _ = writeln!(record, "sent {id} answered {status} ran {runs}{mark}");
        thread::sleep(Duration::from_millis(20));
    }
    let _ = writeln!(record, "broken {broken}");
    site.end(i32::from(broken > 0))
}

/// MIXED: servers begin to answer long requests before they have read them, without a length; and
/// connections are reset.
fn reset_answers(record: &mut File, trouble: bool) -> ! {
    const CLIENTS: usize = 2;
    let site = Site::start(1, &[Manner::Streams; 4]);
    let body = vec![b'x'; LONG_BODY_BYTES];
    let until = Instant::now() + Duration::from_secs(30);
    let results: Vec<Vec<LongRequest>> = thread::scope(|scope| {
        let send_all = |client: usize| {
            let mut results = Vec::new();
            while Instant::now() < until {
                let id = format!("{client:04x}{:012x}", results.len());
                let front = site.entries[0].front;
                let answer = client::send(front, "POST", "/orders/1", &id, DEADLINE, &body);
                results.push(LongRequest { runs: site.runs(&id), id, answer });
            }
            results
        };
        if trouble {
            scope.spawn(|| {
                while Instant::now() + Duration::from_secs(1) < until {
                    thread::sleep(Duration::from_millis(1_500));
                    site.servers.iter().for_each(Server::reset_connections);
                }
            });
        }
        let clients: Vec<_> =
            (0..CLIENTS).map(|client| scope.spawn(move || send_all(client))).collect();
        clients.into_iter().map(|client| client.join().expect("client")).collect()
    });
    let mut broken = 0;
    for result in results.iter().flatten() {
        broken += u32::from(result.is_broken());
        let _ = writeln!(record, "{}", result.line());
    }
    let _ = writeln!(record, "broken {broken}");
    site.end(i32::from(broken > 0))
}

/// A long request and what its client got.
struct LongRequest {
    id: String,
    answer: Option<Answer>,
    runs: u32,
}

impl LongRequest {
    /// Whether the client got a success with another body than the server's whole one.
    fn is_broken(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| {
            answer.status / 100 == 2
                && answer.is_whole
                && answer.body != whole_body(&self.id, LONG_LINES)
        })
    }

    fn line(&self) -> String {
        let (id, whole) = (&self.id, whole_body(&self.id, LONG_LINES).len());
        let answer = match &self.answer {
            Some(answer) => format!(
                "{} with {} of {whole} bytes, sealed {}",
                answer.status,
                answer.body.len(),
                answer.sealed
            ),
            None => "nothing".to_owned(),
        };
        let mark = if self.is_broken() { " BROKEN: a success with a part of the body" } else { "" };
        format!("sent {id} answered {answer}, ran {}{mark}", self.runs)
    }
}

/// CONFIG: the entry that reads the store for the others is killed and starts again, and the operator
/// changes a large configuration a few times. The last version moves the route to another service.
fn large_configs(record: &mut File, trouble: bool) -> ! {
    const IDLE_ROUTES: usize = 5_600;
    const MAX_VALUE_BYTES: usize = 1_048_576;
    let first = config(1, "desk", IDLE_ROUTES);
    let _ = writeln!(record, "a configuration has {} bytes", first.len());
    if first.len() > MAX_VALUE_BYTES {
        exit(2);
    }
    let services = |index| if index < 3 { "desk" } else { "depot" };
    let mut site = Site::start_with(3, &[Manner::Sound; 6], &first, services);
    thread::sleep(Duration::from_secs(2));
    let Some(reader) = site.entries.iter().position(Gateway::reads_store) else {
        eprintln!("no entry reads the store");
        site.end(2);
    };
    let begin = Instant::now();
    let put = |version, service| {
        site.store.put("op/config", &config(version, service, IDLE_ROUTES));
        let at = begin.elapsed();
        (
            at,
            format!(
                "{:6.2} s version {version} acknowledged, orders to {service}",
                at.as_secs_f64()
            ),
        )
    };
    let mut lines = vec![put(2, "desk").1];
    thread::sleep(Duration::from_millis(250));
    if trouble {
        drop(site.entries.remove(reader));
        lines.push(format!("{:6.2} s entry {} killed", begin.elapsed().as_secs_f64(), reader + 1));
    }
    let mut acknowledged = Duration::ZERO;
    for version in 3..=6 {
        let service = if version == 6 { "depot" } else { "desk" };
        let (at, line) = put(version, service);
        acknowledged = at;
        lines.push(line);
        thread::sleep(Duration::from_millis(230));
    }
    if trouble {
        let number = u8::try_from(reader + 1).expect("few entries");
        let start = Start { number, seeds: &[1, 2, 3], first: false, store: site.store.address };
        let entry = Gateway::start(&start, &site.ports, &site.folder);
        site.entries.insert(reader, entry);
        lines.push(format!("{:6.2} s entry {number} starts again", begin.elapsed().as_secs_f64()));
    }
    let others: Vec<usize> = (0..site.entries.len()).filter(|index| *index != reader).collect();
    let mut broken = 0;
    for request in 0..120 {
        let id = format!("{request:016x}");
        let entry = &site.entries[others[request % others.len()]];
        let sent = begin.elapsed();
        let answer = client::send(entry.front, "POST", "/orders/1", &id, DEADLINE, b"an order");
        let status = answer.map_or(0, |answer| answer.status);
        let by_old = site.servers[..3].iter().any(|server| server.runs(&id) > 0);
        let breaks = by_old && sent > acknowledged + CONFIG_APPLY;
        broken += u32::from(breaks);
        let ran_by = if by_old {
            "desk"
        } else if site.runs(&id) > 0 {
            "depot"
        } else {
            "none"
        };
        let mark = if breaks { " BROKEN: run by the old service" } else { "" };
        lines.push(format!(
            "{:6.2} s sent {id} answered {status} run by {ran_by}{mark}",
            sent.as_secs_f64()
        ));
        thread::sleep(Duration::from_millis(200));
    }
    for line in &lines {
        let _ = writeln!(record, "{line}");
    }
    let _ = writeln!(record, "broken {broken}");
    site.end(i32::from(broken > 0))
}

/// DRAIN: an entry is killed and starts again with stale seeds, one answer of the store to it is late,
/// and meanwhile a server leaves. Three times, each time with another server.
fn restart(record: &mut File, trouble: bool) -> ! {
    let mut site = Site::start(3, &[Manner::Sound; 6]);
    let mut broken = 0;
    for leaving in 0..3 {
        thread::sleep(Duration::from_secs(2));
        let lines = restart_once(&mut site, leaving, trouble);
        broken += lines.iter().filter(|line| line.contains("BROKEN")).count();
        for line in &lines {
            let _ = writeln!(record, "{line}");
        }
    }
    let _ = writeln!(record, "broken {broken}");
    site.end(i32::from(broken > 0))
}

/// Restarts an entry that does not read the store for the others, while the server `leaving` leaves, and
/// sends requests to it. Returns the lines of the record.
fn restart_once(site: &mut Site, leaving: usize, trouble: bool) -> Vec<String> {
    /// The answer is sent once more after a lost packet.
    const LATE: Duration = Duration::from_millis(350);
    const NO_ENTRY: u8 = 89;
    const CLIENTS: usize = 8;
    let index = site.entries.iter().position(|entry| !entry.reads_store()).unwrap_or(0);
    let number = u8::try_from(index + 1).expect("few entries");
    let link = site.store.open_slow_link(if trouble { LATE } else { Duration::ZERO });
    drop(site.entries.remove(index));
    thread::sleep(Duration::from_millis(700));
    let begin = Instant::now();
    let seeds = if trouble { vec![NO_ENTRY] } else { vec![1, 2, 3] };
    let start = Start { number, seeds: &seeds, first: false, store: link.address };
    site.entries.insert(index, Gateway::start(&start, &site.ports, &site.folder));
    let front = site.entries[index].front;
    // The store makes up its answer, and then the server leaves.
    let _ = link.watches.recv_timeout(Duration::from_secs(2));
    let server = site.servers[leaving].clone();
    site.store.remove(&format!("servers/{}", server.name));
    let left = begin.elapsed();
    thread::sleep(Duration::from_secs(1));
    let calm = begin.elapsed() + CONTACT;
    let send_all = |client: usize| {
        let mut lines = Vec::new();
        while begin.elapsed() < calm + Duration::from_secs(4) {
            let id = format!("{leaving:02x}{client:02x}{:012x}", lines.len());
            let sent = begin.elapsed();
            let answer = client::send(front, "POST", "/orders/1", &id, DEADLINE, b"an order");
            let status = answer.map_or(0, |answer| answer.status);
            let by_left = server.runs(&id) > 0;
            let breaks = by_left && sent > calm && sent > left + DRAIN;
            let mark = if breaks { " BROKEN: reached the server that had left" } else { "" };
            lines.push(format!(
                "{:6.2} s sent {id} answered {status}, run by the one that left: {by_left}{mark}",
                sent.as_secs_f64()
            ));
            thread::sleep(Duration::from_millis(20));
        }
        lines
    };
    let mut lines = vec![
        format!("  0.00 s entry {number} starts again"),
        format!(
            "{:6.2} s server {} is removed; it goes on serving",
            left.as_secs_f64(),
            server.name
        ),
    ];
    thread::scope(|scope| {
        let clients: Vec<_> =
            (0..CLIENTS).map(|client| scope.spawn(move || send_all(client))).collect();
        lines.extend(clients.into_iter().flat_map(|client| client.join().expect("client")));
    });
    lines
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut record = File::create(record).unwrap_or_else(|err| {
        eprintln!("{err}");
        exit(2)
    });
    let _ = writeln!(record, "case {case} trouble {}", u8::from(trouble));
    match case.as_str() {
        "fails-late" => fails_late(&mut record, trouble),
        "large-configs" => large_configs(&mut record, trouble),
        "restart" => restart(&mut record, trouble),
        "reset-answers" => reset_answers(&mut record, trouble),
        _ => exit(2),
    }
}
