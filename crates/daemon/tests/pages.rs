//! The names on the operations page are those of the code, and the other way round.

// clippy.toml allows it in test functions only, not in their helpers.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::time::Duration;

use rstest::rstest;

use jackdawpin_core::holder::config::FIELDS;
use jackdawpin_core::holder::event::Event;
use jackdawpin_core::name;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_daemon::metrics::Metrics;
use jackdawpin_daemon::metrics::RequestEnd;
use jackdawpin_daemon::settings::table::ACTIONS;
use jackdawpin_daemon::settings::table::SETTINGS;

/// Words in code style that are neither names of the code's tables nor checked against any.
const OTHER_WORDS: &[&str] = &[
    // States and headings in the output of the client.
    "out",
    "refused",
    "starting",
    "abandoned",
    "probes",
    // Outcomes and reasons outside the tables of `core::outcome`.
    "too_many_connections",
    // Fields of documents and responses.
    "revision",
    "ttl_ms",
    // Labels, levels of the log, words in events and programs.
    "listener",
    "debug",
    "shed",
    "timeout",
    "jackdawpind",
    "check",
    "stopped",
];

fn read(path: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(path)).unwrap()
}

/// The part about the entry with settings by flags. The part before it is about the entry on the
/// users' platform, which a test of the stand-ins compares with running processes.
fn page() -> String {
    let page = read("docs/OPERATIONS.md");
    page[page.find("## First look").unwrap()..].to_owned()
}

/// The texts in code style outside of blocks of code.
fn code(page: &str) -> Vec<String> {
    let outside = page.split("```").step_by(2);
    outside.flat_map(|text| text.split('`').skip(1).step_by(2)).map(str::to_owned).collect()
}

/// The names in the first column of the table below a heading.
fn column(page: &str, heading: &str) -> BTreeSet<String> {
    let (_, rest) = page.split_once(&format!("# {heading}\n")).unwrap();
    let table = rest.lines().skip_while(|line| !line.starts_with('|'));
    let rows = table.take_while(|line| line.starts_with('|')).skip(2);
    rows.flat_map(|row| code(row.split('|').nth(1).unwrap())).collect()
}

fn texts(items: impl IntoIterator<Item = impl ToString>) -> BTreeSet<String> {
    items.into_iter().map(|item| item.to_string()).collect()
}

fn refusals() -> BTreeSet<String> {
    let refusal = |end| if let RequestEnd::Refused(reason) = end { Some(reason) } else { None };
    texts(RequestEnd::ALL.into_iter().filter_map(refusal))
}

fn doubts() -> BTreeSet<String> {
    let doubt = |end| if let RequestEnd::Unknown(reason) = end { Some(reason) } else { None };
    texts(RequestEnd::ALL.into_iter().filter_map(doubt))
}

/// One event of each kind, in the order of [`place`].
fn events() -> Vec<Event> {
    let service = || name::Service::try_from("alerts").unwrap();
    let vm = || name::Vm::try_from("alerts-1").unwrap();
    vec![
        Event::Started(1),
        Event::Ready,
        Event::Stopping,
        Event::ConfigAccepted(1),
        Event::ConfigRefused(1, String::new()),
        Event::ConfigConflict(1),
        Event::ConfigStale(1, 2),
        Event::ListAccepted(1),
        Event::ListRefused(1, String::new()),
        Event::ListConflict(1),
        Event::ListStale(1, 2),
        Event::Fenced,
        Event::Unfenced,
        Event::PeerSilent(vm()),
        Event::PeerHeard(vm()),
        Event::Held(service(), vm()),
        Event::Released(service(), vm()),
        Event::Cold(service(), vm(), ""),
        Event::Warm(service(), vm()),
        Event::Excluded(service(), vm(), String::new()),
        Event::Included(service(), vm()),
        Event::Claimed(service(), vm()),
        Event::ClaimLost(service(), vm()),
    ]
}

/// Place of an event in [`events`]; a kind that is added to the core does not compile here.
fn place(event: &Event) -> usize {
    match event {
        Event::Started(..) => 0,
        Event::Ready => 1,
        Event::Stopping => 2,
        Event::ConfigAccepted(..) => 3,
        Event::ConfigRefused(..) => 4,
        Event::ConfigConflict(..) => 5,
        Event::ConfigStale(..) => 6,
        Event::ListAccepted(..) => 7,
        Event::ListRefused(..) => 8,
        Event::ListConflict(..) => 9,
        Event::ListStale(..) => 10,
        Event::Fenced => 11,
        Event::Unfenced => 12,
        Event::PeerSilent(..) => 13,
        Event::PeerHeard(..) => 14,
        Event::Held(..) => 15,
        Event::Released(..) => 16,
        Event::Cold(..) => 17,
        Event::Warm(..) => 18,
        Event::Excluded(..) => 19,
        Event::Included(..) => 20,
        Event::Claimed(..) => 21,
        Event::ClaimLost(..) => 22,
    }
}

fn kinds() -> BTreeSet<String> {
    texts(events().iter().map(Event::kind))
}

/// The metrics as they are exposed: counters with `_total`, histograms without their parts.
fn metrics() -> BTreeSet<String> {
    let metrics = Metrics::new();
    let service = metrics.service(&name::Service::try_from("alerts").unwrap());
    service.count_end(RequestEnd::Answered);
    service.record_latency(Duration::from_millis(1), Duration::from_millis(1));
    metrics.entry.count_unrouted(Refusal::UnknownService);
    let text = metrics.exposition().unwrap();
    let kinds = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let name = |line: &str| match line.split_once(' ').unwrap() {
        (name, "counter") => format!("{name}_total"),
        (name, _) => name.to_owned(),
    };
    kinds.map(name).collect()
}

/// Guards against a list of events here that lacks a kind, so that the page may lack it, too.
#[test]
fn all_events_are_listed() {
    let places: Vec<usize> = events().iter().map(place).collect();
    assert!(places.into_iter().eq(0..23));
}

/// Guards against a name that is missing on the page, and against one that the code no longer has.
#[rstest]
#[case::refusals("Requests refused", refusals())]
#[case::doubts("Unknown outcomes", doubts())]
#[case::events("Events", kinds())]
#[case::settings("Settings of the daemon", texts(SETTINGS.iter().map(|s| format!("--{}", s.flag))))]
fn tables(#[case] heading: &str, #[case] expected: BTreeSet<String>) {
    assert_eq!(column(&page(), heading), expected);
}

/// Guards against a metric that nobody is told how to use, and against one that does not exist.
#[test]
fn metrics_are_mentioned() {
    let named = code(&page()).into_iter().filter(|text| text.starts_with("jackdawpin_"));
    assert_eq!(named.collect::<BTreeSet<_>>(), metrics());
}

/// Guards against options that neither the daemon nor the client knows.
#[test]
fn options_exist() {
    let page = page();
    let help = read("crates/client/tests/golden/help.txt");
    let mut known: BTreeSet<&str> = SETTINGS.iter().map(|setting| setting.flag).collect();
    known.extend(ACTIONS.iter().map(|action| action.flag));
    known.extend(help.split_whitespace().filter_map(|word| word.strip_prefix("--")));
    let end = |c: char| !c.is_ascii_lowercase() && c != '-';
    let options = page.split("--").skip(1).map(|rest| rest.split(end).next().unwrap());
    // The rules of tables are made of the same character.
    let options = options.filter(|option| option.starts_with(|c: char| c.is_ascii_lowercase()));
    let unknown: Vec<&str> = options.filter(|option| !known.contains(option)).collect();
    assert!(unknown.is_empty(), "{unknown:?}");
}

/// Guards against names anywhere on the page that the code does not have.
#[test]
fn words_exist() {
    let mut known: BTreeSet<String> =
        [refusals(), doubts(), kinds()].into_iter().flatten().collect();
    known.extend(FIELDS.iter().map(|field| field.name.to_owned()));
    known.extend(OTHER_WORDS.iter().map(|word| (*word).to_owned()));
    let word = |text: &String| text.bytes().all(|b| b.is_ascii_lowercase() || b == b'_');
    let metric = |text: &String| text.starts_with("jackdawpin_");
    let words = code(&page()).into_iter().filter(|text| word(text) && !metric(text));
    let unknown: BTreeSet<String> = words.filter(|text| !known.contains(text)).collect();
    assert!(unknown.is_empty(), "{unknown:?}");
}
