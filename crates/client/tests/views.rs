//! Whole outputs, as golden files.

mod common;

use rstest::rstest;

use crate::common::EIGHT;
use crate::common::event;
use crate::common::explanation;
use crate::common::fleet;
use crate::common::golden;
use crate::common::member;
use crate::common::page;
use crate::common::status;
use jackdawpin_client::Exit;
use jackdawpin_client::fleet::Fleet;
use jackdawpin_client::fleet::Merge;
use jackdawpin_client::fleet::Selection;
use jackdawpin_client::fleet::explanation_findings;
use jackdawpin_client::fleet::findings;
use jackdawpin_client::fleet::rows;
use jackdawpin_client::settings::Filter;
use jackdawpin_client::view;
use jackdawpin_client::view::explain::Subject;

/// Guards against entries, warnings or reasons that are missing from the output, digests that lose
/// bits in JSON, and control characters that reach the terminal.
#[test]
fn status_output() {
    let fleet = fleet();
    let findings = findings(&fleet);
    golden("status.txt", &view::status::text(&fleet, &findings));
    golden("status.json", &view::status::json(&fleet, &findings));
}

/// Guards against a table without rows where nobody answers.
#[test]
fn status_of_nobody() {
    let fleet = Fleet { members: Vec::new(), ..fleet() };
    golden("status_nobody.txt", &view::status::text(&fleet, &[]));
}

/// Guards against values without their origin, and against views of the holder that differ and are
/// not shown.
#[test]
fn explain_output() {
    let fleet = fleet();
    let (first, second) = (explanation(Some("entry-1")), explanation(Some("entry-2")));
    let views = [("entry-1", &first), ("entry-2", &second)];
    let findings: Vec<_> = explanation_findings(views.into_iter()).into_iter().collect();
    let server = fleet.members.first().and_then(|member| member.status.services.first());
    let server = server.and_then(|service| service.servers.first()).expect("a server");
    let subject = Subject { explanation: Some(&second), holders: vec![("entry-1", server)] };
    golden("explain.txt", &view::explain::text(&subject, &fleet, &findings));
    golden("explain.json", &view::explain::json(&subject, &fleet, &findings));
}

/// Guards against lost events that are not reported, and against the two modes showing events
/// differently.
#[test]
fn timeline_output() {
    let fleet = fleet();
    let mut strange = event(1, 5, "config_accepted", None);
    strange.text = "two\nlines".to_owned();
    let about = Some(("alerts", "alerts-1"));
    let pages = vec![
        page("entry-2", 12, vec![event(13, 1_500, "cold", about), event(14, 1_500, "warm", about)]),
        page("entry-1", 0, vec![strange]),
    ];
    let filter = Filter::default();
    let (records, gaps) = Merge::default().join(pages, &Selection::new(&filter, EIGHT));
    golden("timeline.txt", &view::timeline::text(&records, &gaps, &fleet, &[]));
    golden("timeline.json", &view::timeline::json(&records, &gaps, &fleet, &[]));
    let lost = view::timeline::lost_text(&fleet.unreachable);
    let width = view::timeline::name_width(&fleet);
    let follow = view::timeline::follow_text(&records, &gaps, width);
    golden("follow.txt", &format!("{lost}{follow}"));
    let lost = view::timeline::lost_json(&fleet.unreachable);
    golden("follow.json", &format!("{lost}{}", view::timeline::follow_json(&records, &gaps)));
}

/// Guards against rates over the wrong time, or of an entry that started in between.
#[test]
fn top_output() {
    let before = fleet();
    let mut after = fleet();
    for member in &mut after.members {
        member.status.uptime_ms += 2_000;
        for service in &mut member.status.services {
            service.totals.accepted += 50;
            service.totals.answered += 41;
            service.totals.refused += 5;
            service.totals.unknown += 1;
            service.totals.abandoned += 3;
        }
    }
    if let Some(second) = after.members.get_mut(1) {
        second.status.incarnation += 1;
    }
    let rows = rows(&before, &after);
    golden("top.txt", &view::top::text(&rows, &after, &findings(&after)));
    golden("top.json", &view::top::json(&rows, &after, &[], true));
}

/// Guards against exit codes that hide that entries are missing or wrong.
#[rstest]
#[case::fine(1, 0, false, Exit::Fine)]
#[case::partial(1, 1, false, Exit::Partial)]
#[case::fenced(1, 1, true, Exit::Failed)]
#[case::nobody(0, 1, false, Exit::Unreachable)]
fn exit(#[case] members: usize, #[case] lost: usize, #[case] fenced: bool, #[case] expected: Exit) {
    let mut status = status("entry-1");
    status.fenced = fenced;
    let unreachable = fleet().unreachable.into_iter().take(lost).collect();
    let members = [member(status)].into_iter().take(members).collect();
    let fleet = Fleet { members, unreachable };
    assert_eq!(Exit::of(&fleet, &findings(&fleet)), expected);
}
