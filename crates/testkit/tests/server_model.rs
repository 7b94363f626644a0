//! The model of a server.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;

use jackdawpin_testkit::server::Admission;
use jackdawpin_testkit::server::Arrival;
use jackdawpin_testkit::server::Fault;
use jackdawpin_testkit::server::Journal;
use jackdawpin_testkit::server::Manner;
use jackdawpin_testkit::server::Mislead;
use jackdawpin_testkit::server::Model;
use jackdawpin_testkit::server::Options;
use jackdawpin_testkit::server::Phase;
use jackdawpin_testkit::server::Ticket;
use jackdawpin_testkit::server::Work;

const WORK: Duration = Duration::from_millis(5);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn options(warm: bool) -> Options {
    Options { warm, work: Work::Fixed(WORK), ..Options::default() }
}

fn arrive(model: &mut Model, now: Duration, id: &str) -> Admission {
    model.arrive(now, &Arrival { id, attempt: 1 })
}

fn enter(model: &mut Model, now: Duration, id: &str) -> Option<Ticket> {
    match arrive(model, now, id) {
        Admission::Entered(ticket) => Some(ticket),
        _ => None,
    }
}

/// Guards against a server that takes more than its slots and its queue hold, or refuses earlier.
#[test]
fn sheds_when_full() {
    let mut model = Model::new(options(true));
    let tickets: Vec<_> =
        (0..5).filter_map(|n| enter(&mut model, ms(0), &format!("a{n}"))).collect();
    assert_eq!(tickets.len(), 5);
    assert_eq!(model.phase(tickets[2]), Phase::Running(WORK));
    assert_eq!(model.phase(tickets[3]), Phase::Waiting);
    assert_eq!(arrive(&mut model, ms(0), "a5"), Admission::Shed("shed"));
    assert_eq!(model.ledger().runs("a3"), 0, "a waiting request has not run");
    assert_eq!(model.ledger().runs("a5"), 0, "a shed request has not run");
}

/// Guards against a slot that stays taken after its request ended or was broken off.
#[rstest]
#[case::completed(true)]
#[case::stopped(false)]
fn frees_slots(#[case] completed: bool) {
    let mut model = Model::new(options(true));
    let tickets: Vec<_> =
        (0..4).filter_map(|n| enter(&mut model, ms(0), &format!("a{n}"))).collect();
    model.take_woken();
    match completed {
        true => model.complete(ms(5), tickets[0]),
        false => model.stop(ms(5), tickets[0]),
    }
    assert_eq!(model.phase(tickets[3]), Phase::Running(WORK));
    assert_eq!(model.take_woken(), [tickets[3]]);
    assert_eq!(model.ledger().counts.stopped, u64::from(!completed));
}

/// Guards against a cold server that bears more than one request at once, which would hide a fault of its sender.
#[test]
fn falls_over_while_cold() {
    let mut model = Model::new(options(false));
    let first = enter(&mut model, ms(0), "a").expect("a cold server runs one request");
    assert!(matches!(arrive(&mut model, ms(1), "b"), Admission::Failed(_)));
    assert!(matches!(model.phase(first), Phase::Failed(_)));
    assert_eq!(model.take_woken().last(), Some(&first));
    assert!(matches!(arrive(&mut model, ms(400), "c"), Admission::Failed(_)), "still down");
    model.stop(ms(401), first);

    let counts = &model.ledger().counts;
    assert_eq!((counts.overrun, counts.max_load_cold, counts.failed), (1, 2, 3));
    assert_eq!(model.ledger().runs("b"), 1, "a failure without proof counts as run");
    let again = enter(&mut model, ms(600), "d").expect("it works again after a while");
    assert!(model.is_cold());
    model.complete(ms(605), again);
    assert_eq!(model.ledger().counts.completed, 1);
}

/// Guards against a server that never turns warm, or does so too early.
#[rstest]
#[case::by_requests(10, ms(100), true)]
#[case::too_few(9, ms(100), false)]
#[case::by_time(0, ms(10_000), true)]
#[case::too_early(0, ms(9_999), false)]
fn turns_warm(#[case] requests: u64, #[case] now: Duration, #[case] warm: bool) {
    let mut model = Model::new(options(false));
    for number in 0..requests {
        let ticket = enter(&mut model, ms(number), "a").expect("one at a time");
        model.complete(ms(number), ticket);
    }
    assert_eq!(model.load(now).warm, u64::from(warm));
    assert_eq!(model.is_cold(), !warm);
}

/// Guards against a sudden cold start that breaks what is in flight, and against one that has no effect.
#[test]
fn turns_cold_without_warning() {
    let mut model = Model::new(options(true));
    let tickets: Vec<_> =
        (0..2).filter_map(|n| enter(&mut model, ms(0), &format!("a{n}"))).collect();
    model.chill(ms(10));
    assert_eq!(model.phase(tickets[0]), Phase::Running(WORK));
    assert!(matches!(arrive(&mut model, ms(12), "b"), Admission::Failed(_)));
    let overruns = &model.ledger().counts.overruns;
    assert_eq!((overruns[0].at_ms, overruns[0].cold_for_ms, overruns[0].load), (12, 2, 3));
}

/// Guards against a leaving server that takes new work or does not count who sends it.
#[test]
fn drains() {
    let mut model = Model::new(options(true));
    let ticket = enter(&mut model, ms(0), "a").expect("room");
    model.drain(ms(1));
    assert_eq!(arrive(&mut model, ms(2), "b"), Admission::Shed("draining"));
    assert_eq!(model.load(ms(2)).draining, 1);
    assert_eq!(model.ledger().counts.while_draining, 1);
    assert!(!model.is_idle());
    model.complete(ms(5), ticket);
    assert!(model.is_idle());
}

/// Guards against probes that see the present although they should lag.
#[rstest]
#[case::present(0, 20, 1)]
#[case::just_before(100, 109, 0)]
#[case::lagging(100, 110, 1)]
#[case::just_before_idle(100, 149, 1)]
#[case::lagging_idle(100, 150, 0)]
fn probes_lag(#[case] lag: u64, #[case] now: u64, #[case] in_flight: u64) {
    let mut model = Model::new(Options { lag: ms(lag), ..options(true) });
    let ticket = enter(&mut model, ms(10), "a").expect("room");
    if now >= 50 {
        model.complete(ms(50), ticket);
    }
    assert_eq!(model.probe(ms(now)).in_flight, in_flight);
}

/// Guards against misleading reports that tell the truth, or that lie where they were not asked to.
#[rstest]
#[case::probes(true, false)]
#[case::answers(false, true)]
fn misleads(#[case] probes: bool, #[case] answers: bool) {
    let mut model = Model::new(options(false));
    enter(&mut model, ms(0), "a").expect("room");
    model.mislead = Mislead { probes, answers };
    let load = model.load(ms(1));
    let probe = model.probe(ms(1));
    assert_eq!((probe.warm, probe.in_flight), if probes { (1, 0) } else { (0, 1) });
    assert_eq!((load.warm, load.in_flight), if answers { (1, 0) } else { (0, 1) });
}

/// Guards against faults that do not end.
#[test]
fn faults_end() {
    let mut model = Model::new(options(true));
    model.faults.set_slow(8.0, ms(100));
    model.faults.set(Fault::Fail, ms(50));
    assert_eq!(arrive(&mut model, ms(49), "a"), Admission::Failed(Manner::Error));
    let slow = enter(&mut model, ms(99), "b").expect("room");
    let usual = enter(&mut model, ms(100), "c").expect("room");
    assert_eq!(model.phase(slow), Phase::Running(8 * WORK));
    assert_eq!(model.phase(usual), Phase::Running(WORK));
}

/// Guards against a ledger that changes on its way through a file, and against a file that cannot be read because its
/// process was killed while writing.
#[test]
fn journal() {
    let mut model = Model::new(options(false));
    enter(&mut model, ms(0), "a").expect("room");
    arrive(&mut model, ms(1), "b");
    model.drain(ms(2));
    arrive(&mut model, ms(3), "c");
    let file = std::env::temp_dir().join(format!("jackdawpin-journal-{}", std::process::id()));
    let mut journal = Journal::open(&file).unwrap();
    journal.write(&model.take_events()).unwrap();
    assert_eq!(model.take_events(), []);
    let mut text = std::fs::read_to_string(&file).unwrap();
    text.push_str("{\"start\":{\"id\":\"d");
    std::fs::write(&file, text).unwrap();
    let ledger = Journal::read(&file);
    std::fs::remove_file(&file).unwrap();
    let ledger = ledger.unwrap();
    assert!(ledger.entries().eq(model.ledger().entries()));
    assert_eq!((ledger.runs("a"), ledger.runs("b"), ledger.runs("c")), (1, 1, 0));
    assert_eq!(ledger.counts.overruns, model.ledger().counts.overruns);
    assert_eq!((ledger.counts.overrun, ledger.counts.while_draining), (1, 1));
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive,
    Complete(usize),
    Stop(usize),
    Chill,
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => Just(Step::Arrive),
        3 => (0_usize..8).prop_map(Step::Complete),
        2 => (0_usize..8).prop_map(Step::Stop),
        1 => Just(Step::Chill),
        2 => (0_u64..400).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..60)
}

/// Guards against a ledger that does not account for each request, and against slots that leak in some order of
/// events: tests of the daemon trust both.
#[test]
fn accounts_for_everything() {
    let config = Config { cases: 256, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let check = |steps: Vec<Step>| {
        let mut model = Model::new(options(true));
        let mut now = ms(0);
        let mut open = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Arrive => open.extend(enter(&mut model, now, &format!("a{number}"))),
                Step::Complete(index) if index < open.len() => {
                    model.complete(now, open.remove(index));
                }
                Step::Stop(index) if index < open.len() => model.stop(now, open.remove(index)),
                Step::Chill => model.chill(now),
                Step::Wait(millis) => now += ms(millis),
                Step::Complete(_) | Step::Stop(_) => {}
            }
            let phases: Vec<Phase> = open.iter().map(|ticket| model.phase(*ticket)).collect();
            let running = phases.iter().filter(|phase| matches!(phase, Phase::Running(_))).count();
            let waiting = phases.iter().filter(|phase| **phase == Phase::Waiting).count();
            prop_assert!(running <= 3 && waiting <= 2, "{running} run, {waiting} wait");
            prop_assert!(waiting == 0 || running == 3, "a request waits beside a free slot");
        }
        for ticket in open {
            model.complete(now, ticket);
        }
        prop_assert!(model.is_idle());
        let runs: u64 = model.ledger().entries().map(|entry| u64::from(entry.runs)).sum();
        let counts = &model.ledger().counts;
        prop_assert_eq!(runs, counts.started);
        let ended = counts.completed + counts.failed + counts.stopped + counts.shed;
        prop_assert_eq!(ended, counts.received);
        Ok(())
    };
    TestRunner::new_with_rng(config, rng).run(&steps(), check).unwrap();
}
