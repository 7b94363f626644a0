//! Combining the answers of entries.

mod common;

use rstest::rstest;

use crate::common::START_MS;
use crate::common::event;
use crate::common::page;
use crate::common::peer;
use crate::common::status;
use jackdawpin_client::entry_client::Error;
use jackdawpin_client::fleet::Cursor;
use jackdawpin_client::fleet::Discovery;
use jackdawpin_client::fleet::EventMatcher;
use jackdawpin_client::fleet::TimelineEvent;
use jackdawpin_client::fleet::TimelineMerger;
use jackdawpin_client::settings::EventFilter;
use jackdawpin_client::settings::Since;

fn next_addresses(discovery: &mut Discovery) -> Vec<String> {
    discovery.next_endpoints(32).into_iter().map(|endpoint| endpoint.address).collect()
}

/// Guards against entries that are queried twice, counted twice or omitted when they do not answer.
#[test]
fn each_entry_is_discovered_once() {
    let mut discovery = Discovery::new(&["a:1".to_owned(), "b:1".to_owned(), "lost:1".to_owned()]);
    let endpoints = discovery.next_endpoints(32);
    let [a, b, unreachable] = <[_; 3]>::try_from(endpoints).expect("three endpoints");
    let mut first = status("entry-1");
    first.entries = vec![
        peer("entry-2", "c:1"),
        peer("entry-3", "lost:1"),
        peer("entry-4", "d:1"),
        peer("entry-5", ""),
    ];
    let mut second = status("entry-2");
    second.entries = vec![peer("entry-1", "other:1"), peer("entry-5", "")];
    discovery.record_status(a, first);
    discovery.record_status(b, second);
    discovery.record_failure(unreachable, &Error::Timeout(5));
    // entry-1 and entry-2 have answered, so their other addresses are not queried.
    assert_eq!(next_addresses(&mut discovery), ["d:1"]);
    assert_eq!(next_addresses(&mut discovery), [""; 0]);
    let fleet = discovery.into_fleet();
    let names: Vec<_> = fleet.reachable.iter().map(|entry| &entry.status.vm).collect();
    assert_eq!(names, ["entry-1", "entry-2"]);
    let unreachable = fleet.unreachable.iter();
    let unreachable = unreachable.map(|entry| (entry.vm.as_deref(), entry.address.as_str()));
    assert!(unreachable.eq([(Some("entry-3"), "lost:1"), (Some("entry-5"), "-")]));
}

/// Guards against counting a reachable entry as unreachable at a second address.
#[test]
fn unreachable_second_address() {
    let mut discovery = Discovery::new(&["a:1".to_owned(), "old:1".to_owned()]);
    let [a, old] = <[_; 2]>::try_from(discovery.next_endpoints(2)).expect("two endpoints");
    let mut first = status("entry-1");
    first.entries = vec![peer("entry-2", "old:1"), peer("entry-2", "new:1")];
    discovery.record_failure(old, &Error::Timeout(5));
    discovery.record_status(a, first);
    let [new] = <[_; 1]>::try_from(discovery.next_endpoints(2)).expect("one endpoint");
    discovery.record_status(new, status("entry-2"));
    let fleet = discovery.into_fleet();
    assert_eq!((fleet.reachable.len(), fleet.unreachable.len()), (2, 0));
}

fn summarize(events: &[TimelineEvent]) -> Vec<(&str, u64, bool)> {
    let summary = events.iter().map(|event| (event.entry.as_str(), event.event.number, event.late));
    summary.collect()
}

/// Guards against events that are not sorted by stamp, then by entry, then by number; and against
/// late events that are not marked as late.
#[test]
fn merged_timeline() {
    let filter = EventFilter::default();
    let matcher = EventMatcher::new(&filter, START_MS);
    let mut merger = TimelineMerger::default();
    let pages = vec![
        page("b", 3, vec![event(4, 10, "cold", None), event(5, 10, "warm", None)]),
        page("a", 0, vec![event(1, 5, "ready", None), event(2, 10, "warm", None)]),
        page("b", 4, vec![event(10, 20, "held", None)]),
    ];
    let (events, dropped) = merger.merge(pages, &matcher);
    let expected =
        [("a", 1, false), ("b", 4, false), ("a", 2, false), ("b", 5, false), ("b", 10, false)];
    assert_eq!(summarize(&events), expected);
    let dropped: Vec<_> =
        dropped.iter().map(|dropped| (dropped.entry.as_str(), dropped.count)).collect();
    assert_eq!(dropped, [("b", 7)]);

    let late = page("a", 0, vec![event(3, 15, "cold", None), event(4, 25, "cold", None)]);
    let (events, _) = merger.merge(vec![late], &matcher);
    assert_eq!(summarize(&events), [("a", 3, true), ("a", 4, false)]);
    let (events, _) = merger.merge(vec![page("a", 0, vec![event(5, 24, "x", None)])], &matcher);
    assert_eq!(summarize(&events), [("a", 5, true)]);
}

/// Guards against a filter that hides selected events or shows others.
#[rstest]
#[case::all(EventFilter::default(), &[1, 2, 3, 4])]
#[case::kind(EventFilter { kinds: vec!["cold".into(), "held".into()], ..Default::default() }, &[2, 4])]
#[case::service(EventFilter { service: Some("alerts".into()), ..Default::default() }, &[2, 3])]
#[case::vm(EventFilter { vm: Some("s-2".into()), ..Default::default() }, &[4])]
#[case::entry(EventFilter { vm: Some("entry-1".into()), ..Default::default() }, &[1, 2, 3, 4])]
#[case::since(EventFilter { since: Some(Since::At(START_MS + 20)), ..Default::default() }, &[2, 3, 4])]
fn event_filter(#[case] filter: EventFilter, #[case] expected: &[u64]) {
    let events = vec![
        event(1, 10, "ready", None),
        event(2, 20, "cold", Some(("alerts", "s-1"))),
        event(3, 30, "warm", Some(("alerts", "s-1"))),
        event(4, 40, "held", Some(("ordering", "s-2"))),
    ];
    let matcher = EventMatcher::new(&filter, START_MS);
    let (events, _) = TimelineMerger::default().merge(vec![page("entry-1", 0, events)], &matcher);
    let numbers: Vec<_> = events.iter().map(|event| event.event.number).collect();
    assert_eq!(numbers, expected);
}

/// Guards against events that are skipped when an entry restarts, and against reading the same page
/// for ever.
#[test]
fn cursor_after_restart() {
    let mut first = page("a", 0, vec![event(8, 0, "ready", None)]);
    let cursor = Cursor::default();
    assert!(!cursor.is_outdated(&first));
    let cursor = cursor.advanced_by(&first).expect("newer events");
    assert_eq!(cursor.last_number(), 8);
    assert_eq!(cursor.advanced_by(&first), None);
    first.incarnation = 2;
    assert!(cursor.is_outdated(&first));
}
