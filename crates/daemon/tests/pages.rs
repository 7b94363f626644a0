//! The names on the operations page (docs/OPERATIONS.md) and in the code are the same.

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

/// Words in code style on the page that are not compared with a table of the code.
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

/// A file of the repository.
fn read(path: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(path)).unwrap()
}

/// The part of the page about the daemon that is set by flags. The part before it is about the
/// entry on the users' platform, which a test of the stand-ins compares with running processes.
fn page() -> String {
    let page = read("docs/OPERATIONS.md");
    page[page.find("## First look").unwrap()..].to_owned()
}

/// The texts in code style outside of code blocks.
fn code_texts(page: &str) -> Vec<String> {
    let outside_blocks = page.split("```").step_by(2);
    outside_blocks.flat_map(|text| text.split('`').skip(1).step_by(2)).map(str::to_owned).collect()
}

/// The names in the first column of the table below a heading.
fn first_column(page: &str, heading: &str) -> BTreeSet<String> {
    let (_, rest) = page.split_once(&format!("# {heading}\n")).unwrap();
    let table = rest.lines().skip_while(|line| !line.starts_with('|'));
    let rows = table.take_while(|line| line.starts_with('|')).skip(2);
    rows.flat_map(|row| code_texts(row.split('|').nth(1).unwrap())).collect()
}

/// The display texts of the items.
fn texts(items: impl IntoIterator<Item = impl ToString>) -> BTreeSet<String> {
    items.into_iter().map(|item| item.to_string()).collect()
}

/// The reasons of refusals.
fn refusals() -> BTreeSet<String> {
    let refusal = |end| if let RequestEnd::Refused(reason) = end { Some(reason) } else { None };
    texts(RequestEnd::ALL.into_iter().filter_map(refusal))
}

/// The reasons of unknown outcomes.
fn unknown_reasons() -> BTreeSet<String> {
    let reason = |end| if let RequestEnd::Unknown(reason) = end { Some(reason) } else { None };
    texts(RequestEnd::ALL.into_iter().filter_map(reason))
}

/// One event of each kind, in the order of [`position`].
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

/// Position of an event in [`events`]. If the core gets a new kind, this match does not compile
/// until the kind is added.
fn position(event: &Event) -> usize {
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

/// The kinds of events.
fn event_kinds() -> BTreeSet<String> {
    texts(events().iter().map(Event::kind))
}

/// The names of the metrics in the exposition: counters with `_total`, histograms without suffix.
fn metric_names() -> BTreeSet<String> {
    let metrics = Metrics::new();
    let service = metrics.service(&name::Service::try_from("alerts").unwrap());
    service.count_end(RequestEnd::Answered);
    service.record_latency(Duration::from_millis(1), Duration::from_millis(1));
    metrics.entry.count_unrouted(Refusal::UnknownService);
    let text = metrics.exposition().unwrap();
    let type_lines = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let name = |line: &str| match line.split_once(' ').unwrap() {
        (name, "counter") => format!("{name}_total"),
        (name, _) => name.to_owned(),
    };
    type_lines.map(name).collect()
}

/// Guards against an event kind that is missing in [`events`], so that the page may lack it, too.
#[test]
fn all_events_are_listed() {
    let positions: Vec<usize> = events().iter().map(position).collect();
    assert!(positions.into_iter().eq(0..23));
}

/// Guards against a name that is missing on the page, and against one that the code does not have.
#[rstest]
#[case::refusals("Requests refused", refusals())]
#[case::unknown_reasons("Unknown outcomes", unknown_reasons())]
#[case::events("Events", event_kinds())]
#[case::settings("Settings of the daemon", texts(SETTINGS.iter().map(|s| format!("--{}", s.flag))))]
fn tables_match_the_code(#[case] heading: &str, #[case] expected: BTreeSet<String>) {
    assert_eq!(first_column(&page(), heading), expected);
}

/// Guards against a metric that the page does not mention, and against one that does not exist.
#[test]
fn metrics_are_mentioned() {
    let mentioned = code_texts(&page()).into_iter().filter(|text| text.starts_with("jackdawpin_"));
    assert_eq!(mentioned.collect::<BTreeSet<_>>(), metric_names());
}

/// Guards against options that neither the daemon nor the client knows.
#[test]
fn options_exist() {
    let page = page();
    let help = read("crates/client/tests/golden/help.txt");
    let mut known: BTreeSet<&str> = SETTINGS.iter().map(|setting| setting.flag).collect();
    known.extend(ACTIONS.iter().map(|action| action.flag));
    known.extend(help.split_whitespace().filter_map(|word| word.strip_prefix("--")));
    let is_end = |c: char| !c.is_ascii_lowercase() && c != '-';
    let options = page.split("--").skip(1).map(|rest| rest.split(is_end).next().unwrap());
    // The horizontal rules of tables consist of hyphens, too.
    let options = options.filter(|option| option.starts_with(|c: char| c.is_ascii_lowercase()));
    let unknown: Vec<&str> = options.filter(|option| !known.contains(option)).collect();
    assert!(unknown.is_empty(), "{unknown:?}");
}

/// Guards against a name anywhere on the page that the code does not have.
#[test]
fn names_exist() {
    let mut known: BTreeSet<String> =
        [refusals(), unknown_reasons(), event_kinds()].into_iter().flatten().collect();
    known.extend(FIELDS.iter().map(|field| field.name.to_owned()));
    known.extend(OTHER_WORDS.iter().map(|word| (*word).to_owned()));
    let is_word = |text: &String| text.bytes().all(|b| b.is_ascii_lowercase() || b == b'_');
    let is_metric = |text: &String| text.starts_with("jackdawpin_");
    let words = code_texts(&page()).into_iter().filter(|text| is_word(text) && !is_metric(text));
    let unknown: BTreeSet<String> = words.filter(|text| !known.contains(text)).collect();
    assert!(unknown.is_empty(), "{unknown:?}");
}
