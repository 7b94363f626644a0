//! Joining the answers of entries.

mod common;

use rstest::rstest;

use crate::common::EIGHT;
use crate::common::entry;
use crate::common::event;
use crate::common::page;
use crate::common::status;
use jackdawpin_client::ask::Error;
use jackdawpin_client::fleet::Cursor;
use jackdawpin_client::fleet::Merge;
use jackdawpin_client::fleet::Record;
use jackdawpin_client::fleet::Roster;
use jackdawpin_client::fleet::Selection;
use jackdawpin_client::settings::Filter;
use jackdawpin_client::settings::Since;

fn addresses(roster: &mut Roster) -> Vec<String> {
    roster.next(32).into_iter().map(|place| place.address).collect()
}

/// Guards against entries that are asked twice, counted twice or hidden when they give no answer.
#[test]
fn roster() {
    let mut roster = Roster::new(&["a:1".to_owned(), "b:1".to_owned(), "lost:1".to_owned()]);
    let places = roster.next(32);
    let [a, b, lost] = <[_; 3]>::try_from(places).expect("three places");
    let mut first = status("entry-1");
    first.entries = vec![
        entry("entry-2", "c:1"),
        entry("entry-3", "lost:1"),
        entry("entry-4", "d:1"),
        entry("entry-5", ""),
    ];
    let mut second = status("entry-2");
    second.entries = vec![entry("entry-1", "other:1"), entry("entry-5", "")];
    roster.answered(a, first);
    roster.answered(b, second);
    roster.failed(lost, &Error::Timeout(5));
    // entry-1 and entry-2 have answered, at whatever address others know them.
    assert_eq!(addresses(&mut roster), ["d:1"]);
    assert_eq!(addresses(&mut roster), [""; 0]);
    let fleet = roster.finish();
    let names: Vec<_> = fleet.members.iter().map(|member| &member.status.vm).collect();
    assert_eq!(names, ["entry-1", "entry-2"]);
    let lost = fleet.unreachable.iter();
    let lost = lost.map(|lost| (lost.vm.as_deref(), lost.address.as_str()));
    assert!(lost.eq([(Some("entry-3"), "lost:1"), (Some("entry-5"), "-")]));
}

/// Guards against an entry that counts as unreachable because of a second address.
#[test]
fn second_address() {
    let mut roster = Roster::new(&["a:1".to_owned(), "old:1".to_owned()]);
    let [a, old] = <[_; 2]>::try_from(roster.next(2)).expect("two places");
    let mut first = status("entry-1");
    first.entries = vec![entry("entry-2", "old:1"), entry("entry-2", "new:1")];
    roster.failed(old, &Error::Timeout(5));
    roster.answered(a, first);
    let [new] = <[_; 1]>::try_from(roster.next(2)).expect("one place");
    roster.answered(new, status("entry-2"));
    let fleet = roster.finish();
    assert_eq!((fleet.members.len(), fleet.unreachable.len()), (2, 0));
}

fn shown(records: &[Record]) -> Vec<(&str, u64, bool)> {
    let shown =
        records.iter().map(|record| (record.entry.as_str(), record.event.number, record.late));
    shown.collect()
}

/// Guards against events out of order: by stamp, then by entry, then by number; and against late
/// events that look as if they were in order.
#[test]
fn merge() {
    let filter = Filter::default();
    let selection = Selection::new(&filter, EIGHT);
    let mut merge = Merge::default();
    let pages = vec![
        page("b", 3, vec![event(4, 10, "cold", None), event(5, 10, "warm", None)]),
        page("a", 0, vec![event(1, 5, "ready", None), event(2, 10, "warm", None)]),
        page("b", 4, vec![event(10, 20, "held", None)]),
    ];
    let (records, gaps) = merge.join(pages, &selection);
    let expected =
        [("a", 1, false), ("b", 4, false), ("a", 2, false), ("b", 5, false), ("b", 10, false)];
    assert_eq!(shown(&records), expected);
    let gaps: Vec<_> = gaps.iter().map(|gap| (gap.entry.as_str(), gap.dropped)).collect();
    assert_eq!(gaps, [("b", 7)]);

    let late = page("a", 0, vec![event(3, 15, "cold", None), event(4, 25, "cold", None)]);
    let (records, _) = merge.join(vec![late], &selection);
    assert_eq!(shown(&records), [("a", 3, true), ("a", 4, false)]);
    let (records, _) = merge.join(vec![page("a", 0, vec![event(5, 24, "x", None)])], &selection);
    assert_eq!(shown(&records), [("a", 5, true)]);
}

/// Guards against filters that hide events that were asked for.
#[rstest]
#[case::all(Filter::default(), &[1, 2, 3, 4])]
#[case::kind(Filter { kinds: vec!["cold".into(), "held".into()], ..Default::default() }, &[2, 4])]
#[case::service(Filter { service: Some("alerts".into()), ..Default::default() }, &[2, 3])]
#[case::vm(Filter { vm: Some("s-2".into()), ..Default::default() }, &[4])]
#[case::entry(Filter { vm: Some("entry-1".into()), ..Default::default() }, &[1, 2, 3, 4])]
#[case::since(Filter { since: Some(Since::At(EIGHT + 20)), ..Default::default() }, &[2, 3, 4])]
fn selection(#[case] filter: Filter, #[case] expected: &[u64]) {
    let events = vec![
        event(1, 10, "ready", None),
        event(2, 20, "cold", Some(("alerts", "s-1"))),
        event(3, 30, "warm", Some(("alerts", "s-1"))),
        event(4, 40, "held", Some(("ordering", "s-2"))),
    ];
    let selection = Selection::new(&filter, EIGHT);
    let (records, _) = Merge::default().join(vec![page("entry-1", 0, events)], &selection);
    let numbers: Vec<_> = records.iter().map(|record| record.event.number).collect();
    assert_eq!(numbers, expected);
}

/// Guards against events that are skipped when an entry starts again, and against reading a page
/// for ever.
#[test]
fn cursor() {
    let mut first = page("a", 0, vec![event(8, 0, "ready", None)]);
    let cursor = Cursor::default();
    assert!(!cursor.is_outdated(&first));
    let cursor = cursor.after(&first).expect("something new");
    assert_eq!(cursor.number(), 8);
    assert_eq!(cursor.after(&first), None);
    first.incarnation = 2;
    assert!(cursor.is_outdated(&first));
}
