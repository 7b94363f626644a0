//! Sample messages and the comparison with golden files.

// Each test file uses a part of this module.
#![allow(dead_code)]

use std::env;
use std::fs;
use std::path::Path;

use jackdawpin_client::fleet::Fleet;
use jackdawpin_client::fleet::ReachableEntry;
use jackdawpin_client::fleet::UnreachableEntry;
use jackdawpin_wire::DocumentVersion;
use jackdawpin_wire::Event;
use jackdawpin_wire::Explanation;
use jackdawpin_wire::Origin;
use jackdawpin_wire::PeerStatus;
use jackdawpin_wire::ServerStatus;
use jackdawpin_wire::ServiceStatus;
use jackdawpin_wire::Setting;
use jackdawpin_wire::Stamp;
use jackdawpin_wire::Status;
use jackdawpin_wire::TimelinePage;
use jackdawpin_wire::Totals;

/// 2026-05-03T08:00:00Z, in milliseconds since the Unix epoch.
pub const START_MS: u64 = 1_777_795_200_000;

/// Compares a text with a file in `tests/golden`. With `JACKDAWPIN_WRITE_GOLDEN` set, writes the
/// file instead.
pub fn assert_golden(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if env::var_os("JACKDAWPIN_WRITE_GOLDEN").is_some() {
        fs::write(&path, text).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    }
    let expected = fs::read_to_string(&path).unwrap_or_default();
    assert!(text == expected, "{name} differs, this is the text:\n{text}");
}

pub fn version(number: u64) -> DocumentVersion {
    DocumentVersion { number, digest: 0xfedc_ba98_7654_3210 ^ number }
}

/// Status of an entry that is ready, has configuration 42 and holds no server.
pub fn status(vm: &str) -> Status {
    Status {
        vm: vm.to_owned(),
        domain: "fd-a".to_owned(),
        program: "0.1.0".to_owned(),
        incarnation: 0xffff_ffff_ffff_0001,
        uptime_ms: 93_784_000,
        ready: true,
        leaving: false,
        fenced: false,
        platform_age_ms: Some(120),
        config: Some(version(42)),
        config_refused: None,
        vms: Some(version(7)),
        vms_refused: None,
        unknown: Vec::new(),
        entries: Vec::new(),
        services: Vec::new(),
        totals: Totals::default(),
    }
}

pub fn peer(vm: &str, address: &str) -> PeerStatus {
    PeerStatus { vm: vm.to_owned(), address: address.to_owned(), leaving: false, age_ms: Some(400) }
}

pub fn service(name: &str, totals: Totals, servers: Vec<ServerStatus>) -> ServiceStatus {
    let name = name.to_owned();
    ServiceStatus { name, waiting: 2, totals, p50_us: 4_120, p99_us: 25_300, servers }
}

pub fn server(vm: &str, state: &str, why: &str, limit: u32) -> ServerStatus {
    ServerStatus {
        vm: vm.to_owned(),
        address: "127.0.0.1:9000".to_owned(),
        domain: "fd-a".to_owned(),
        state: state.to_owned(),
        why: why.to_owned(),
        limit,
        in_flight: limit / 2,
        latency_us: 5_070,
        probes: 12,
    }
}

pub fn totals(answered: u64) -> Totals {
    Totals {
        accepted: answered + 30,
        answered,
        refused: 12,
        unknown: 3,
        abandoned: 5,
        in_flight: 10,
    }
}

pub fn reachable(status: Status) -> ReachableEntry {
    ReachableEntry { address: format!("{}:7001", status.vm), status }
}

/// Three reachable entries, of which one refused a configuration, one is fenced with an older
/// configuration and one has just started, and two unreachable ones.
pub fn fleet() -> Fleet {
    let mut first = status("entry-1");
    first.config_refused =
        Some("line 3, column 1, sl\u{1b}[2Jots: the field is unknown".to_owned());
    let warm = server("alerts-1", "warm", "full limit", 4);
    let cold = server("alerts-17", "cold", "new boot id", 1);
    first.services = vec![service("alerts", totals(1_000), vec![cold, warm])];
    let mut second = status("entry-2");
    second.config = Some(version(41));
    second.fenced = true;
    second.platform_age_ms = Some(65_000);
    let out = server("ordering-1", "out", "Power maintenance.", 0);
    second.services =
        vec![service("alerts", totals(400), Vec::new()), service("ordering", totals(0), vec![out])];
    let mut third = status("entry-3");
    third.ready = false;
    third.config = None;
    third.vms = None;
    third.platform_age_ms = None;
    third.uptime_ms = 1_250;
    let unreachable = vec![
        UnreachableEntry {
            vm: Some("entry-4".to_owned()),
            address: "127.0.0.1:7031".to_owned(),
            reason: "Connection refused (os error 111)".to_owned(),
        },
        UnreachableEntry {
            vm: None,
            address: "localhost:7041".to_owned(),
            reason: "no answer within 2000 ms".to_owned(),
        },
    ];
    Fleet { reachable: [first, second, third].map(reachable).into(), unreachable }
}

pub fn explanation(holder: Option<&str>) -> Explanation {
    let setting = |field: &str, value: &str, origin| Setting {
        field: field.to_owned(),
        value: value.to_owned(),
        origin,
    };
    let exception = Origin::Exception {
        scope: "server alerts-17 of service alerts".to_owned(),
        reason: "Older VM type.".to_owned(),
    };
    Explanation {
        service: "alerts".to_owned(),
        server: "alerts-17".to_owned(),
        domain: "fd-a".to_owned(),
        config: version(42),
        out: Some("Power maintenance.".to_owned()),
        holder: holder.map(str::to_owned),
        settings: vec![
            setting("slots", "2", exception),
            setting("connections", "250", Origin::Default),
            setting("timeout_ms", "1000", Origin::Service),
        ],
    }
}

pub fn event(number: u64, millis: u64, kind: &str, subject: Option<(&str, &str)>) -> Event {
    Event {
        number,
        stamp: Stamp { millis: START_MS + millis, counter: u32::from(kind == "warm") },
        kind: kind.to_owned(),
        text: format!("event {kind}"),
        service: subject.map(|(service, _)| service.to_owned()),
        vm: subject.map(|(_, vm)| vm.to_owned()),
    }
}

pub fn page(vm: &str, dropped: u64, events: Vec<Event>) -> TimelinePage {
    TimelinePage { vm: vm.to_owned(), incarnation: 1, dropped, events }
}
