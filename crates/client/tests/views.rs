//! Complete outputs, compared with golden files.

mod common;

use rstest::rstest;

use crate::common::START_MS;
use crate::common::assert_golden;
use crate::common::event;
use crate::common::explanation;
use crate::common::fleet;
use crate::common::page;
use crate::common::reachable;
use crate::common::status;
use jackdawpin_client::Exit;
use jackdawpin_client::fleet::EventMatcher;
use jackdawpin_client::fleet::Fleet;
use jackdawpin_client::fleet::TimelineMerger;
use jackdawpin_client::fleet::findings;
use jackdawpin_client::fleet::holder_disagreement;
use jackdawpin_client::fleet::service_summaries;
use jackdawpin_client::settings::EventFilter;
use jackdawpin_client::view;
use jackdawpin_client::view::explain::ExplainedServer;

/// Guards against entries, warnings or reasons that are missing from the output, digests that lose
/// bits in JSON, and control characters that reach the terminal.
#[test]
fn status_output() {
    let fleet = fleet();
    let findings = findings(&fleet);
    assert_golden("status.txt", &view::status::text(&fleet, &findings));
    assert_golden("status.json", &view::status::json(&fleet, &findings));
}

/// Guards against empty tables if no entry answers.
#[test]
fn status_without_answers() {
    let fleet = Fleet { reachable: Vec::new(), ..fleet() };
    assert_golden("status_nobody.txt", &view::status::text(&fleet, &[]));
}

/// Guards against values without their origin, and against entries that name different holders
/// without a warning.
#[test]
fn explain_output() {
    let fleet = fleet();
    let (first, second) = (explanation(Some("entry-1")), explanation(Some("entry-2")));
    let explanations = [("entry-1", &first), ("entry-2", &second)];
    let findings: Vec<_> = holder_disagreement(explanations.into_iter()).into_iter().collect();
    let server = fleet.reachable.first().and_then(|entry| entry.status.services.first());
    let server = server.and_then(|service| service.servers.first()).expect("a server");
    let explained =
        ExplainedServer { explanation: Some(&second), holders: vec![("entry-1", server)] };
    assert_golden("explain.txt", &view::explain::text(&explained, &fleet, &findings));
    assert_golden("explain.json", &view::explain::json(&explained, &fleet, &findings));
}

/// Guards against dropped events that are not reported, and against different output of the same
/// events in the two modes.
#[test]
fn timeline_output() {
    let fleet = fleet();
    let mut multiline = event(1, 5, "config_accepted", None);
    multiline.text = "two\nlines".to_owned();
    let subject = Some(("alerts", "alerts-1"));
    let pages = vec![
        page(
            "entry-2",
            12,
            vec![event(13, 1_500, "cold", subject), event(14, 1_500, "warm", subject)],
        ),
        page("entry-1", 0, vec![multiline]),
    ];
    let filter = EventFilter::default();
    let (events, dropped) =
        TimelineMerger::default().merge(pages, &EventMatcher::new(&filter, START_MS));
    assert_golden("timeline.txt", &view::timeline::text(&events, &dropped, &fleet, &[]));
    assert_golden("timeline.json", &view::timeline::json(&events, &dropped, &fleet, &[]));
    let unreachable = view::timeline::unreachable_text(&fleet.unreachable);
    let width = view::timeline::entry_name_width(&fleet);
    let follow = view::timeline::follow_text(&events, &dropped, width);
    assert_golden("follow.txt", &format!("{unreachable}{follow}"));
    let unreachable = view::timeline::unreachable_json_lines(&fleet.unreachable);
    assert_golden(
        "follow.json",
        &format!("{unreachable}{}", view::timeline::follow_json(&events, &dropped)),
    );
}

/// Guards against rates over the wrong time, and against rates of an entry that restarted in
/// between.
#[test]
fn top_output() {
    let before = fleet();
    let mut after = fleet();
    for entry in &mut after.reachable {
        entry.status.uptime_ms += 2_000;
        for service in &mut entry.status.services {
            service.totals.accepted += 50;
            service.totals.answered += 41;
            service.totals.refused += 5;
            service.totals.unknown += 1;
            service.totals.abandoned += 3;
        }
    }
    if let Some(second) = after.reachable.get_mut(1) {
        second.status.incarnation += 1;
    }
    let summaries = service_summaries(&before, &after);
    assert_golden("top.txt", &view::top::text(&summaries, &after, &findings(&after)));
    assert_golden("top.json", &view::top::json(&summaries, &after, &[], true));
}

/// Guards against exit codes that do not show unreachable entries or findings.
#[rstest]
#[case::success(1, 0, false, Exit::Success)]
#[case::partial(1, 1, false, Exit::Partial)]
#[case::fenced(1, 1, true, Exit::Failed)]
#[case::no_entry(0, 1, false, Exit::Unreachable)]
fn exit_code(
    #[case] reachable_count: usize,
    #[case] unreachable_count: usize,
    #[case] fenced: bool,
    #[case] expected: Exit,
) {
    let mut status = status("entry-1");
    status.fenced = fenced;
    let unreachable = fleet().unreachable.into_iter().take(unreachable_count).collect();
    let reachable = [reachable(status)].into_iter().take(reachable_count).collect();
    let fleet = Fleet { reachable, unreachable };
    assert_eq!(Exit::from_findings(&fleet, &findings(&fleet)), expected);
}
