//! Fence and readiness: when an entry may take new work.

mod intent_support;

use std::time::Duration;

use crate::intent_support::*;
use jackdawpin_core::holder::intent::CONNECTED_READ_WAIT;
use jackdawpin_core::holder::intent::FetchLimiter;
use jackdawpin_core::holder::intent::ISOLATED_READ_WAIT;
use jackdawpin_core::holder::intent::Readiness;
use jackdawpin_core::holder::intent::ReadinessInput;
use jackdawpin_core::holder::member::Connectivity;

/// ReadinessInput with documents, the platform answered and current at the given times, and most of
/// three peers heard.
fn evidence(answered: Option<u64>, current: Option<u64>, heard: Option<u64>) -> ReadinessInput {
    let platform = PlatformReads { answered_at: answered.map(at), current_at: current.map(at) };
    let met = if heard.is_some() { 2 } else { 1 };
    let contact =
        Connectivity { peers: 3, heard: met, untried: 0, majority_heard_at: heard.map(at) };
    ReadinessInput {
        platform_reads: platform,
        connectivity: contact,
        has_documents: true,
        behind: false,
    }
}

fn alone(answered: Option<u64>, current: Option<u64>) -> ReadinessInput {
    ReadinessInput { connectivity: Connectivity::default(), ..evidence(answered, current, None) }
}

/// Guards against an entry that sends into a failure domain taken out of service because it cannot
/// know the intent, and against a fence that a platform outage alone, or old data on the platform
/// of a single entry, brings about.
#[rstest]
#[case::nothing(evidence(None, None, None), None)]
#[case::platform_and_peers(evidence(Some(20), Some(20), Some(30)), Some(30))]
#[case::platform_outage(evidence(Some(20), Some(20), Some(90)), Some(90))]
#[case::peers_lost(evidence(Some(90), Some(90), Some(20)), Some(90))]
#[case::never_heard_peers(evidence(Some(90), Some(90), None), Some(90))]
#[case::old_data_and_peers_lost(evidence(Some(90), Some(10), Some(20)), Some(20))]
#[case::old_data_with_peers(evidence(Some(90), Some(10), Some(80)), Some(80))]
#[case::alone(alone(Some(90), Some(90)), Some(90))]
#[case::alone_with_old_data(alone(Some(90), Some(10)), Some(90))]
#[case::alone_without_platform(alone(None, None), None)]
fn known_until(#[case] evidence: ReadinessInput, #[case] last: Option<u64>) {
    assert_eq!(evidence.intent_known_until(), last.map(|last| at(last + 5_000)));
    let gate = Readiness::new(at(0));
    gate.update(at(100), &evidence, &Events::default());
    assert_eq!(gate.is_fenced(at(100)), last.is_none());
    assert_eq!(gate.is_fenced(at(last.unwrap_or(0) + 5_000)), last.is_none());
    assert!(gate.is_fenced(at(last.unwrap_or(0) + 5_001)));
}

/// Guards against a start that serves on an intent that peers would correct, and one that never
/// ends because a listed entry does not exist.
#[rstest]
#[case::most_met(4, 3, 2, 0, true)]
#[case::majority_with_itself(4, 2, 2, 2_999, true)]
#[case::minority_with_itself(4, 1, 2, 2_999, false)]
#[case::half_with_itself(3, 1, 2, 2_999, false)]
#[case::waited(4, 0, 0, 3_000, true)]
#[case::waited_but_not_tried(4, 0, 1, 60_000, false)]
#[case::no_others(0, 0, 0, 0, true)]
fn joined(
    #[case] others: usize,
    #[case] met: usize,
    #[case] untried: usize,
    #[case] now: u64,
    #[case] expected: bool,
) {
    let majority = others > 0 && 2 * (met + 1) > others + 1;
    let most_heard = majority.then(|| at(0));
    let contact =
        Connectivity { peers: others, heard: met, untried, majority_heard_at: most_heard };
    let evidence = ReadinessInput { connectivity: contact, ..evidence(None, None, None) };
    assert_eq!(evidence.joined(at(now), at(0)), expected);
    for (documents, expected) in [(false, false), (true, expected)] {
        let (gate, events) = (Readiness::new(at(0)), Events::default());
        for _ in 0..2 {
            gate.update(at(now), &ReadinessInput { has_documents: documents, ..evidence }, &events);
        }
        assert_eq!(gate.is_ready(), expected);
        let ready = events.take().into_iter().filter(|event| *event == Event::Ready).count();
        assert_eq!(ready, usize::from(expected), "reported once");
    }
}

/// Guards against a pending read of 30 s that fences an entry which has only the platform.
#[rstest]
#[case::peers_heard(evidence(None, None, Some(7_000)), CONNECTED_READ_WAIT)]
#[case::peers_lost(evidence(None, None, Some(6_999)), ISOLATED_READ_WAIT)]
#[case::alone(alone(Some(9_999), None), ISOLATED_READ_WAIT)]
fn read_wait(#[case] evidence: ReadinessInput, #[case] expected: Duration) {
    assert_eq!(evidence.read_wait(at(10_000)), expected);
}

/// Guards against a woken entry that serves before it heard again, or on an intent that its peers
/// know to be old, and against one that a document it cannot fetch keeps out of service.
#[test]
fn pause() {
    let (gate, events) = (Readiness::new(at(0)), Events::default());
    let behind = |heard: u64| ReadinessInput { behind: true, ..evidence(None, None, Some(heard)) };
    gate.update(at(1_000), &evidence(None, None, Some(1_000)), &events);
    gate.update(at(2_000), &behind(2_000), &events);
    assert!(!gate.is_fenced(at(2_000)), "a change of a document does not fence");
    assert_eq!(events.take(), [Event::Ready]);
    // The process sleeps until 62 s.
    assert!(gate.is_fenced(at(62_000)), "before any timer runs");
    gate.update(at(62_000), &behind(2_000), &events);
    assert_eq!(events.take(), [Event::Fenced]);
    gate.update(at(62_100), &behind(62_050), &events);
    assert!(gate.is_fenced(at(62_100)), "heard, but behind");
    gate.update(at(62_200), &evidence(None, None, Some(62_150)), &events);
    assert!(!gate.is_fenced(at(62_200)));
    assert_eq!(events.take(), [Event::Unfenced]);
    // Another pause; the documents cannot be fetched.
    gate.update(at(100_000), &behind(99_990), &events);
    gate.update(at(101_999), &behind(101_990), &events);
    assert!(gate.is_fenced(at(101_999)));
    gate.update(at(102_000), &behind(101_990), &events);
    assert!(!gate.is_fenced(at(102_000)));
    assert_eq!(events.take(), [Event::Fenced, Event::Unfenced]);
    // A pause that ends with fresh evidence at the first update shows on the time line.
    gate.update(at(200_000), &evidence(None, None, Some(199_990)), &events);
    assert_eq!(events.take(), [Event::Fenced, Event::Unfenced]);
}

/// Guards against an entry that becomes ready on an intent that its peers know to be old.
#[test]
fn ready_after_catching_up() {
    let (gate, events) = (Readiness::new(at(0)), Events::default());
    let behind = |heard: u64| ReadinessInput { behind: true, ..evidence(None, None, Some(heard)) };
    gate.update(at(100), &evidence(Some(90), Some(90), None), &events);
    assert!(!gate.is_fenced(at(100)) && !gate.is_ready());
    gate.update(at(200), &behind(190), &events);
    assert!(!gate.is_ready());
    gate.update(at(300), &evidence(Some(90), Some(90), Some(290)), &events);
    assert!(gate.is_ready());
    assert_eq!(events.take(), [Event::Ready]);
}

/// Guards against a fence on each start in the time line, and one that is never shown for an entry
/// that hears nobody.
#[test]
fn start() {
    let (gate, events) = (Readiness::new(at(0)), Events::default());
    for second in 0..=5 {
        gate.update(at(second * 1000), &evidence(None, None, None), &events);
    }
    assert_eq!(events.take(), [Event::Ready]);
    gate.update(at(5_001), &evidence(None, None, None), &events);
    gate.update(at(6_000), &evidence(None, None, None), &events);
    assert_eq!(events.take(), [Event::Fenced]);
    gate.update(at(7_000), &evidence(None, None, Some(6_990)), &events);
    assert_eq!(events.take(), [Event::Unfenced]);
}

/// What happens to an entry.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes.
    Wait(u64),
    /// A peer answers.
    Hear(usize),
    /// The platform answers, with a document that is current or older than the one in force.
    Read(bool),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (1u64..2_500).prop_map(Step::Wait),
        1 => (4_000u64..70_000).prop_map(Step::Wait),
        6 => (0usize..5).prop_map(Step::Hear),
        2 => any::<bool>().prop_map(Step::Read),
    ];
    prop::collection::vec(step, 1..80)
}

proptest! {
    #![proptest_config(fixed(256))]

    /// Guards against a fence that differs from its rule through any sequence of pauses, lost peers
    /// and old data, and against events that are missing or repeated. The rule is evaluated here
    /// from the times of all peers.
    #[test]
    fn follows_rule(others in 0usize..6, steps in steps()) {
        let (events, gate) = (Events::default(), Readiness::new(at(0)));
        let names = ["p0", "p1", "p2", "p3", "p4"];
        let listed: Vec<&str> = names.into_iter().take(others).chain(["own"]).collect();
        let peers = Peers::new(vm("own"), at(0));
        peers.update_list(at(0), &list(1, &listed));
        let (mut now, mut heard) = (10_000, [None; 5]);
        let (mut answered, mut current) = (None, None);
        let mut was_fenced = true;
        for (clock, step) in (1u64..).zip(steps) {
            match step {
                Step::Wait(millis) => now += millis,
                Step::Hear(index) => {
                    let beat = beat(1, clock);
                    let origin = HeartbeatKind::Response { request_sent_at: at(now) };
                    peers.merge_heartbeat(at(now), &vm(names[index]), beat, origin, &Events::default());
                    heard[index] = Some(now);
                }
                Step::Read(is_current) => {
                    answered = Some(now);
                    current = if is_current { answered } else { current };
                }
            }
            let recent = |time: &Option<u64>| time.is_some_and(|time| now - time <= 5_000);
            let read = if others == 0 { answered } else { current };
            let count = heard.iter().take(others).filter(|time| recent(time)).count();
            let majority = others > 0 && 2 * (count + 1) > others + 1;
            let fenced = !recent(&read) && !majority;
            let lapsed = gate.is_fenced(at(now));
            prop_assert_eq!(lapsed, was_fenced || fenced, "the fence falls without a timer");
            let contact = peers.connectivity();
            let platform = PlatformReads { answered_at: answered.map(at), current_at: current.map(at) };
            let evidence = ReadinessInput { platform_reads: platform, connectivity: contact, has_documents: false, behind: false };
            gate.update(at(now), &evidence, &events);
            prop_assert_eq!(gate.is_fenced(at(now)), fenced);
            let mut expected = Vec::new();
            if lapsed && !was_fenced {
                expected.push(Event::Fenced);
            }
            if lapsed && !fenced {
                expected.push(Event::Unfenced);
            }
            // The first step is later than the grace of the start, so its fence is reported.
            if clock == 1 {
                expected.insert(0, Event::Fenced);
            }
            prop_assert_eq!(events.take(), expected);
            was_fenced = fenced;
        }
    }
}

/// Guards against evidence that misses a part: documents in force, reads, and what peers have.
#[test]
fn gather() {
    let (table, peers, events) =
        (DocumentTable::new(), Peers::new(vm("e1"), at(0)), Events::default());
    let list = list(1, &["e1", "e2"]);
    peers.update_list(at(0), &list);
    assert_eq!(ReadinessInput::collect(at(0), &table, &peers).connectivity.untried, 1);
    let (order, source) =
        (DocumentVersion { number: 1, digest: 1 }, Source::Platform { sent_at: at(10) });
    table.offer_config(at(20), order, Ok(config(1)), b"", source, &events);
    assert!(!ReadinessInput::collect(at(20), &table, &peers).has_documents);
    table.offer_list(at(20), order, Ok(list), b"", source, &events);
    let newer = DocumentVersion { number: 2, digest: 1 };
    let beat = Heartbeat { config_version: Some(newer), ..beat(1, 1) };
    peers.merge_heartbeat(at(30), &vm("e2"), beat, HeartbeatKind::Request, &events);
    let evidence = ReadinessInput::collect(at(40), &table, &peers);
    assert!(evidence.has_documents && evidence.behind);
    assert_eq!(
        evidence.platform_reads,
        PlatformReads { answered_at: Some(at(10)), current_at: Some(at(10)) }
    );
    assert_eq!(evidence.connectivity.majority_heard_at, Some(at(30)));
    let (refused, peer) = (Err("bad".to_owned()), vm("e2"));
    table.offer_config(at(50), newer, refused, b"", Source::Peer(&peer), &events);
    assert!(
        !ReadinessInput::collect(at(50), &table, &peers).behind,
        "a refused document is not missing"
    );
}

/// Guards against a fence that still trusts a majority of the entries that a previous VM list had.
#[test]
fn longer_list() {
    let (gate, peers, events) =
        (Readiness::new(at(0)), Peers::new(vm("e1"), at(0)), Events::default());
    let update = || {
        let evidence =
            ReadinessInput { connectivity: peers.connectivity(), ..ReadinessInput::default() };
        gate.update(at(100), &evidence, &events);
        gate.is_fenced(at(100))
    };
    peers.update_list(at(0), &list(1, &["e1", "e2"]));
    peers.merge_heartbeat(at(100), &vm("e2"), beat(1, 1), HeartbeatKind::Request, &events);
    assert!(!update());
    peers.update_list(at(100), &list(2, &["e1", "e2", "e3", "e4"]));
    assert!(update());
    assert_eq!(events.take(), [Event::Fenced]);
}

/// Guards against fetching a document of 1 MB from all peers at once, and against waiting for one
/// that does not deliver it.
#[test]
fn fetch() {
    let mut fetch = FetchLimiter::default();
    let order = DocumentVersion { number: 2, digest: 1 };
    let (first, second) = ((vm("e2"), order), (vm("e3"), order));
    let candidates = [first.clone(), second.clone()];
    assert_eq!(fetch.start(at(0), &candidates), Some(&first));
    assert_eq!(fetch.start(at(1), &candidates), None, "one at a time");
    fetch.finish(at(10), &first.0, false);
    assert_eq!(fetch.start(at(10), &candidates), Some(&second), "the next one after a failure");
    fetch.finish(at(20), &second.0, false);
    assert_eq!(fetch.start(at(1_009), &candidates), None, "both failed lately");
    assert_eq!(fetch.start(at(1_010), &candidates), Some(&first));
    assert_eq!(fetch.start(at(3_009), &candidates), None);
    assert_eq!(fetch.start(at(3_010), &candidates), Some(&first), "the fetch was never ended");
    fetch.finish(at(3_020), &first.0, true);
    assert_eq!(fetch.start(at(3_020), &candidates), Some(&first), "a success does not count");
}
