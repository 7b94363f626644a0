//! Tests of the model of the server test double.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;

use jackdawpin_testkit::server::Admission;
use jackdawpin_testkit::server::Arrival;
use jackdawpin_testkit::server::FailureKind;
use jackdawpin_testkit::server::Fault;
use jackdawpin_testkit::server::Handle;
use jackdawpin_testkit::server::Journal;
use jackdawpin_testkit::server::Misreporting;
use jackdawpin_testkit::server::Model;
use jackdawpin_testkit::server::Options;
use jackdawpin_testkit::server::Phase;
use jackdawpin_testkit::server::Work;

const WORK_TIME: Duration = Duration::from_millis(5);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn options(warm: bool) -> Options {
    Options { warm, work: Work::Fixed(WORK_TIME), ..Options::default() }
}

fn admit(model: &mut Model, now: Duration, id: &str) -> Admission {
    model.admit(now, &Arrival { id, attempt: 1 })
}

fn accept(model: &mut Model, now: Duration, id: &str) -> Option<Handle> {
    match admit(model, now, id) {
        Admission::Accepted(handle) => Some(handle),
        _ => None,
    }
}

/// Guards against a server that accepts more requests than its slots and its queue hold, or sheds
/// earlier.
#[test]
fn sheds_when_full() {
    let mut model = Model::new(options(true));
    let handles: Vec<_> =
        (0..5).filter_map(|n| accept(&mut model, ms(0), &format!("a{n}"))).collect();
    assert_eq!(handles.len(), 5);
    assert_eq!(model.phase(handles[2]), Phase::Running(WORK_TIME));
    assert_eq!(model.phase(handles[3]), Phase::Waiting);
    assert_eq!(admit(&mut model, ms(0), "a5"), Admission::Shed("shed"));
    assert_eq!(model.ledger().runs("a3"), 0, "a waiting request has not run");
    assert_eq!(model.ledger().runs("a5"), 0, "a shed request has not run");
}

/// Guards against a slot that stays occupied after its request completed or was cancelled.
#[rstest]
#[case::completed(true)]
#[case::cancelled(false)]
fn ended_request_frees_its_slot(#[case] completed: bool) {
    let mut model = Model::new(options(true));
    let handles: Vec<_> =
        (0..4).filter_map(|n| accept(&mut model, ms(0), &format!("a{n}"))).collect();
    model.take_changed();
    match completed {
        true => model.complete(ms(5), handles[0]),
        false => model.cancel(ms(5), handles[0]),
    }
    assert_eq!(model.phase(handles[3]), Phase::Running(WORK_TIME));
    assert_eq!(model.take_changed(), [handles[3]]);
    assert_eq!(model.ledger().counts.stopped, u64::from(!completed));
}

/// Guards against a cold server that survives more than one request at the same time, which would
/// hide a fault of the sender.
#[test]
fn cold_overrun_begins_outage() {
    let mut model = Model::new(options(false));
    let first = accept(&mut model, ms(0), "a").expect("a cold server runs one request");
    assert!(matches!(admit(&mut model, ms(1), "b"), Admission::Failed(_)));
    assert!(matches!(model.phase(first), Phase::Failed(_)));
    assert_eq!(model.take_changed().last(), Some(&first));
    assert!(
        matches!(admit(&mut model, ms(400), "c"), Admission::Failed(_)),
        "the outage continues"
    );
    model.cancel(ms(401), first);

    let counts = &model.ledger().counts;
    assert_eq!((counts.overrun, counts.max_load_cold, counts.failed), (1, 2, 3));
    assert_eq!(model.ledger().runs("b"), 1, "a failure without proof counts as run");
    let after_outage = accept(&mut model, ms(600), "d").expect("the outage has ended");
    assert!(model.is_cold());
    model.complete(ms(605), after_outage);
    assert_eq!(model.ledger().counts.completed, 1);
}

/// Guards against a server that never becomes warm, or too early.
#[rstest]
#[case::by_requests(10, ms(100), true)]
#[case::too_few(9, ms(100), false)]
#[case::by_time(0, ms(10_000), true)]
#[case::too_early(0, ms(9_999), false)]
fn becomes_warm(#[case] requests: u64, #[case] now: Duration, #[case] warm: bool) {
    let mut model = Model::new(options(false));
    for number in 0..requests {
        let handle = accept(&mut model, ms(number), "a").expect("one at a time");
        model.complete(ms(number), handle);
    }
    assert_eq!(model.answer_report(now).warm, u64::from(warm));
    assert_eq!(model.is_cold(), !warm);
}

/// Guards against a server that cancels its running requests when it is made cold, and against one
/// that stays warm.
#[test]
fn make_cold_keeps_running_requests() {
    let mut model = Model::new(options(true));
    let handles: Vec<_> =
        (0..2).filter_map(|n| accept(&mut model, ms(0), &format!("a{n}"))).collect();
    model.make_cold(ms(10));
    assert_eq!(model.phase(handles[0]), Phase::Running(WORK_TIME));
    assert!(matches!(admit(&mut model, ms(12), "b"), Admission::Failed(_)));
    let overruns = &model.ledger().counts.overruns;
    assert_eq!((overruns[0].at_ms, overruns[0].cold_for_ms, overruns[0].load), (12, 2, 3));
}

/// Guards against a draining server that accepts new requests or doesn't count them.
#[test]
fn draining_sheds_new_requests() {
    let mut model = Model::new(options(true));
    let handle = accept(&mut model, ms(0), "a").expect("room");
    model.drain(ms(1));
    assert_eq!(admit(&mut model, ms(2), "b"), Admission::Shed("draining"));
    assert_eq!(model.answer_report(ms(2)).draining, 1);
    assert_eq!(model.ledger().counts.while_draining, 1);
    assert!(!model.is_idle());
    model.complete(ms(5), handle);
    assert!(model.is_idle());
}

/// Guards against probes that receive the current load report although their reports should lag.
#[rstest]
#[case::no_lag(0, 20, 1)]
#[case::just_before(100, 109, 0)]
#[case::lagging(100, 110, 1)]
#[case::just_before_idle(100, 149, 1)]
#[case::lagging_idle(100, 150, 0)]
fn probe_reports_lag(#[case] lag: u64, #[case] now: u64, #[case] in_flight: u64) {
    let mut model = Model::new(Options { probe_lag: ms(lag), ..options(true) });
    let handle = accept(&mut model, ms(10), "a").expect("room");
    if now >= 50 {
        model.complete(ms(50), handle);
    }
    assert_eq!(model.probe_report(ms(now)).in_flight, in_flight);
}

/// Guards against load reports that are true although they should be false, and the reverse.
#[rstest]
#[case::probes(true, false)]
#[case::answers(false, true)]
fn false_reports(#[case] probes: bool, #[case] answers: bool) {
    let mut model = Model::new(options(false));
    accept(&mut model, ms(0), "a").expect("room");
    model.misreporting = Misreporting { probes, answers };
    let report = model.answer_report(ms(1));
    let probe = model.probe_report(ms(1));
    assert_eq!((probe.warm, probe.in_flight), if probes { (1, 0) } else { (0, 1) });
    assert_eq!((report.warm, report.in_flight), if answers { (1, 0) } else { (0, 1) });
}

/// Guards against faults that don't end at their time.
#[test]
fn faults_expire() {
    let mut model = Model::new(options(true));
    model.faults.set_slowdown(8.0, ms(100));
    model.faults.set(Fault::Fail, ms(50));
    assert_eq!(admit(&mut model, ms(49), "a"), Admission::Failed(FailureKind::Error));
    let slowed = accept(&mut model, ms(99), "b").expect("room");
    let usual = accept(&mut model, ms(100), "c").expect("room");
    assert_eq!(model.phase(slowed), Phase::Running(8 * WORK_TIME));
    assert_eq!(model.phase(usual), Phase::Running(WORK_TIME));
}

/// Guards against a ledger that changes when it is written to a file and read back, and against a
/// file that cannot be read because its process was killed while writing.
#[test]
fn journal_restores_ledger() {
    let mut model = Model::new(options(false));
    accept(&mut model, ms(0), "a").expect("room");
    admit(&mut model, ms(1), "b");
    model.drain(ms(2));
    admit(&mut model, ms(3), "c");
    let path = std::env::temp_dir().join(format!("jackdawpin-journal-{}", std::process::id()));
    let mut journal = Journal::open(&path).unwrap();
    journal.write(&model.take_events()).unwrap();
    assert_eq!(model.take_events(), []);
    let mut text = std::fs::read_to_string(&path).unwrap();
    text.push_str("{\"start\":{\"id\":\"d");
    std::fs::write(&path, text).unwrap();
    let ledger = Journal::read(&path);
    std::fs::remove_file(&path).unwrap();
    let ledger = ledger.unwrap();
    assert!(ledger.entries().eq(model.ledger().entries()));
    assert_eq!((ledger.runs("a"), ledger.runs("b"), ledger.runs("c")), (1, 1, 0));
    assert_eq!(ledger.counts.overruns, model.ledger().counts.overruns);
    assert_eq!((ledger.counts.overrun, ledger.counts.while_draining), (1, 1));
}

#[derive(Debug, Clone, Copy)]
enum Action {
    Admit,
    Complete(usize),
    Cancel(usize),
    MakeCold,
    Advance(u64),
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let action = prop_oneof![
        6 => Just(Action::Admit),
        3 => (0_usize..8).prop_map(Action::Complete),
        2 => (0_usize..8).prop_map(Action::Cancel),
        1 => Just(Action::MakeCold),
        2 => (0_u64..400).prop_map(Action::Advance),
    ];
    prop::collection::vec(action, 1..60)
}

/// Guards against a ledger that doesn't account for each request, and against slots that leak in
/// some order of events. Tests of the daemon rely on both.
#[test]
fn ledger_accounts_for_every_request() {
    let config = Config { cases: 256, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let check = |actions: Vec<Action>| {
        let mut model = Model::new(options(true));
        let mut now = ms(0);
        let mut admitted = Vec::new();
        for (number, action) in actions.into_iter().enumerate() {
            match action {
                Action::Admit => admitted.extend(accept(&mut model, now, &format!("a{number}"))),
                Action::Complete(index) if index < admitted.len() => {
                    model.complete(now, admitted.remove(index));
                }
                Action::Cancel(index) if index < admitted.len() => {
                    model.cancel(now, admitted.remove(index))
                }
                Action::MakeCold => model.make_cold(now),
                Action::Advance(millis) => now += ms(millis),
                Action::Complete(_) | Action::Cancel(_) => {}
            }
            let phases: Vec<Phase> = admitted.iter().map(|handle| model.phase(*handle)).collect();
            let running = phases.iter().filter(|phase| matches!(phase, Phase::Running(_))).count();
            let waiting = phases.iter().filter(|phase| **phase == Phase::Waiting).count();
            prop_assert!(running <= 3 && waiting <= 2, "{running} run, {waiting} wait");
            prop_assert!(waiting == 0 || running == 3, "a request waits beside a free slot");
        }
        for handle in admitted {
            model.complete(now, handle);
        }
        prop_assert!(model.is_idle());
        let runs: u64 = model.ledger().entries().map(|entry| u64::from(entry.runs)).sum();
        let counts = &model.ledger().counts;
        prop_assert_eq!(runs, counts.started);
        let accounted = counts.completed + counts.failed + counts.stopped + counts.shed;
        prop_assert_eq!(accounted, counts.received);
        Ok(())
    };
    TestRunner::new_with_rng(config, rng).run(&actions(), check).unwrap();
}
