//! Fence and readiness: when an entry may take new work; and the limiter of document fetches.

mod intent_support;

use std::time::Duration;

use crate::intent_support::*;
use jackdawpin_core::holder::intent::CONNECTED_READ_WAIT;
use jackdawpin_core::holder::intent::FetchLimiter;
use jackdawpin_core::holder::intent::ISOLATED_READ_WAIT;
use jackdawpin_core::holder::intent::Readiness;
use jackdawpin_core::holder::intent::ReadinessInput;
use jackdawpin_core::holder::member::Connectivity;

/// Input of an entry that has its documents and three peers. The times, in milliseconds, are those
/// of the latest read that the platform answered, of the latest read that returned current data,
/// and of the last time that a majority was heard.
fn input(answered: Option<u64>, current: Option<u64>, majority: Option<u64>) -> ReadinessInput {
    let platform_reads =
        PlatformReads { answered_at: answered.map(at), current_at: current.map(at) };
    let heard = if majority.is_some() { 2 } else { 1 };
    let connectivity =
        Connectivity { peers: 3, heard, untried: 0, majority_heard_at: majority.map(at) };
    ReadinessInput { platform_reads, connectivity, has_documents: true, behind: false }
}

/// Input of an entry that is alone on the VM list.
fn alone(answered: Option<u64>, current: Option<u64>) -> ReadinessInput {
    ReadinessInput { connectivity: Connectivity::default(), ..input(answered, current, None) }
}

/// Guards against an entry that sends into a failure domain taken out of service because it cannot
/// know the intent, and against a fence that a platform outage alone causes, or old data of the
/// platform at an entry that is alone.
#[rstest]
#[case::no_contact(input(None, None, None), None)]
#[case::platform_and_peers(input(Some(20), Some(20), Some(30)), Some(30))]
#[case::platform_outage(input(Some(20), Some(20), Some(90)), Some(90))]
#[case::peers_lost(input(Some(90), Some(90), Some(20)), Some(90))]
#[case::peers_never_heard(input(Some(90), Some(90), None), Some(90))]
#[case::old_data_and_peers_lost(input(Some(90), Some(10), Some(20)), Some(20))]
#[case::old_data_with_peers(input(Some(90), Some(10), Some(80)), Some(80))]
#[case::alone(alone(Some(90), Some(90)), Some(90))]
#[case::alone_with_old_data(alone(Some(90), Some(10)), Some(90))]
#[case::alone_without_platform(alone(None, None), None)]
fn intent_known_until(#[case] input: ReadinessInput, #[case] last: Option<u64>) {
    assert_eq!(input.intent_known_until(), last.map(|last| at(last + 5_000)));
    let readiness = Readiness::new(at(0));
    readiness.update(at(100), &input, &Events::default());
    assert_eq!(readiness.is_fenced(at(100)), last.is_none());
    assert_eq!(readiness.is_fenced(at(last.unwrap_or(0) + 5_000)), last.is_none());
    assert!(readiness.is_fenced(at(last.unwrap_or(0) + 5_001)));
}

/// Guards against an entry that becomes ready on documents that its peers know to be old, and one
/// that never becomes ready because an entry on the VM list does not exist.
#[rstest]
#[case::majority_heard(4, 3, 2, 0, true)]
#[case::majority_with_itself(4, 2, 2, 2_999, true)]
#[case::minority_with_itself(4, 1, 2, 2_999, false)]
#[case::half_with_itself(3, 1, 2, 2_999, false)]
#[case::waited(4, 0, 0, 3_000, true)]
#[case::waited_but_not_tried(4, 0, 1, 60_000, false)]
#[case::no_others(0, 0, 0, 0, true)]
fn joined(
    #[case] peers: usize,
    #[case] heard: usize,
    #[case] untried: usize,
    #[case] now: u64,
    #[case] expected: bool,
) {
    let majority = peers > 0 && 2 * (heard + 1) > peers + 1;
    let majority_heard_at = majority.then(|| at(0));
    let connectivity = Connectivity { peers, heard, untried, majority_heard_at };
    let input = ReadinessInput { connectivity, ..input(None, None, None) };
    assert_eq!(input.joined(at(now), at(0)), expected);
    for (has_documents, expected) in [(false, false), (true, expected)] {
        let (readiness, events) = (Readiness::new(at(0)), Events::default());
        for _ in 0..2 {
            readiness.update(at(now), &ReadinessInput { has_documents, ..input }, &events);
        }
        assert_eq!(readiness.is_ready(), expected);
        let ready = events.take().into_iter().filter(|event| *event == Event::Ready).count();
        assert_eq!(ready, usize::from(expected), "reported once");
    }
}

/// Guards against a pending read of 30 s that fences an entry which can reach only the platform.
#[rstest]
#[case::peers_heard(input(None, None, Some(7_000)), CONNECTED_READ_WAIT)]
#[case::peers_lost(input(None, None, Some(6_999)), ISOLATED_READ_WAIT)]
#[case::alone(alone(Some(9_999), None), ISOLATED_READ_WAIT)]
fn read_wait(#[case] input: ReadinessInput, #[case] expected: Duration) {
    assert_eq!(input.read_wait(at(10_000)), expected);
}

/// Guards against an entry that, after a suspension, serves before it has heard its peers again or
/// on documents that its peers know to be old, and against one that stays fenced because it cannot
/// fetch a document.
#[test]
fn suspension() {
    let (readiness, events) = (Readiness::new(at(0)), Events::default());
    let behind = |heard: u64| ReadinessInput { behind: true, ..input(None, None, Some(heard)) };
    readiness.update(at(1_000), &input(None, None, Some(1_000)), &events);
    readiness.update(at(2_000), &behind(2_000), &events);
    assert!(!readiness.is_fenced(at(2_000)), "a change of a document does not fence");
    assert_eq!(events.take(), [Event::Ready]);
    // The process is suspended until 62 s.
    assert!(readiness.is_fenced(at(62_000)), "before any timer runs");
    readiness.update(at(62_000), &behind(2_000), &events);
    assert_eq!(events.take(), [Event::Fenced]);
    readiness.update(at(62_100), &behind(62_050), &events);
    assert!(readiness.is_fenced(at(62_100)), "heard, but behind");
    readiness.update(at(62_200), &input(None, None, Some(62_150)), &events);
    assert!(!readiness.is_fenced(at(62_200)));
    assert_eq!(events.take(), [Event::Unfenced]);
    // Another suspension; the documents cannot be fetched.
    readiness.update(at(100_000), &behind(99_990), &events);
    readiness.update(at(101_999), &behind(101_990), &events);
    assert!(readiness.is_fenced(at(101_999)));
    readiness.update(at(102_000), &behind(101_990), &events);
    assert!(!readiness.is_fenced(at(102_000)));
    assert_eq!(events.take(), [Event::Fenced, Event::Unfenced]);
    // A suspension is recorded even if the first update after it ends the fence.
    readiness.update(at(200_000), &input(None, None, Some(199_990)), &events);
    assert_eq!(events.take(), [Event::Fenced, Event::Unfenced]);
}

/// Guards against an entry that becomes ready on documents that its peers know to be old.
#[test]
fn ready_after_catching_up() {
    let (readiness, events) = (Readiness::new(at(0)), Events::default());
    let behind = |heard: u64| ReadinessInput { behind: true, ..input(None, None, Some(heard)) };
    readiness.update(at(100), &input(Some(90), Some(90), None), &events);
    assert!(!readiness.is_fenced(at(100)) && !readiness.is_ready());
    readiness.update(at(200), &behind(190), &events);
    assert!(!readiness.is_ready());
    readiness.update(at(300), &input(Some(90), Some(90), Some(290)), &events);
    assert!(readiness.is_ready());
    assert_eq!(events.take(), [Event::Ready]);
}

/// Guards against a time line that shows a fence at each start, and one that never shows the fence
/// of an entry without any contact.
#[test]
fn fence_during_start_is_not_reported() {
    let (readiness, events) = (Readiness::new(at(0)), Events::default());
    for second in 0..=5 {
        readiness.update(at(second * 1000), &input(None, None, None), &events);
    }
    assert_eq!(events.take(), [Event::Ready]);
    readiness.update(at(5_001), &input(None, None, None), &events);
    readiness.update(at(6_000), &input(None, None, None), &events);
    assert_eq!(events.take(), [Event::Fenced]);
    readiness.update(at(7_000), &input(None, None, Some(6_990)), &events);
    assert_eq!(events.take(), [Event::Unfenced]);
}

/// A step of a generated history of an entry.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes, in milliseconds.
    Wait(u64),
    /// The peer with this index responds to a heartbeat.
    HearPeer(usize),
    /// The platform answers a read, with a document that is current (`true`) or older than the one
    /// in force.
    ReadPlatform(bool),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (1u64..2_500).prop_map(Step::Wait),
        1 => (4_000u64..70_000).prop_map(Step::Wait),
        6 => (0usize..5).prop_map(Step::HearPeer),
        2 => any::<bool>().prop_map(Step::ReadPlatform),
    ];
    prop::collection::vec(step, 1..80)
}

proptest! {
    #![proptest_config(deterministic(256))]

    /// Guards against a fence that deviates from its rule in any sequence of suspensions, lost
    /// peers and old data, and against events that are missing or repeated. The test evaluates the
    /// rule from the times at which each peer was heard.
    #[test]
    fn fence_follows_rule(peer_count in 0usize..6, steps in steps()) {
        let (events, readiness) = (Events::default(), Readiness::new(at(0)));
        let names = ["p0", "p1", "p2", "p3", "p4"];
        let listed: Vec<&str> = names.into_iter().take(peer_count).chain(["own"]).collect();
        let peers = Peers::new(vm("own"), at(0));
        peers.update_list(at(0), &list(1, &listed));
        let (mut now, mut heard_at) = (10_000, [None; 5]);
        let (mut answered, mut current) = (None, None);
        let mut was_fenced = true;
        for (clock, step) in (1u64..).zip(steps) {
            match step {
                Step::Wait(millis) => now += millis,
                Step::HearPeer(index) => {
                    let heartbeat = heartbeat(1, clock);
                    let kind = HeartbeatKind::Response { request_sent_at: at(now) };
                    peers.merge_heartbeat(
                        at(now),
                        &vm(names[index]),
                        heartbeat,
                        kind,
                        &Events::default(),
                    );
                    heard_at[index] = Some(now);
                }
                Step::ReadPlatform(is_current) => {
                    answered = Some(now);
                    current = if is_current { answered } else { current };
                }
            }
            let recent = |time: &Option<u64>| time.is_some_and(|time| now - time <= 5_000);
            let last_read = if peer_count == 0 { answered } else { current };
            let live = heard_at.iter().take(peer_count).filter(|time| recent(time)).count();
            let majority = peer_count > 0 && 2 * (live + 1) > peer_count + 1;
            let fenced = !recent(&last_read) && !majority;
            let fenced_before_update = readiness.is_fenced(at(now));
            prop_assert_eq!(
                fenced_before_update,
                was_fenced || fenced,
                "the fence takes effect without a timer"
            );
            let connectivity = peers.connectivity();
            let platform_reads =
                PlatformReads { answered_at: answered.map(at), current_at: current.map(at) };
            let input = ReadinessInput {
                platform_reads,
                connectivity,
                has_documents: false,
                behind: false,
            };
            readiness.update(at(now), &input, &events);
            prop_assert_eq!(readiness.is_fenced(at(now)), fenced);
            let mut expected = Vec::new();
            if fenced_before_update && !was_fenced {
                expected.push(Event::Fenced);
            }
            if fenced_before_update && !fenced {
                expected.push(Event::Unfenced);
            }
            // The first step comes after the start-up period, in which no fence is reported.
            if clock == 1 {
                expected.insert(0, Event::Fenced);
            }
            prop_assert_eq!(events.take(), expected);
            was_fenced = fenced;
        }
    }
}

/// Guards against input that lacks the documents in force, the reads of the platform or the
/// versions that peers have.
#[test]
fn collected_input() {
    let (table, peers, events) =
        (DocumentTable::new(), Peers::new(vm("e1"), at(0)), Events::default());
    let list = list(1, &["e1", "e2"]);
    peers.update_list(at(0), &list);
    assert_eq!(ReadinessInput::collect(at(0), &table, &peers).connectivity.untried, 1);
    let (version, source) =
        (DocumentVersion { number: 1, digest: 1 }, Source::Platform { sent_at: at(10) });
    table.offer_config(at(20), version, Ok(config(1)), b"", source, &events);
    assert!(!ReadinessInput::collect(at(20), &table, &peers).has_documents);
    table.offer_list(at(20), version, Ok(list), b"", source, &events);
    let newer = DocumentVersion { number: 2, digest: 1 };
    let heartbeat = Heartbeat { config_version: Some(newer), ..heartbeat(1, 1) };
    peers.merge_heartbeat(at(30), &vm("e2"), heartbeat, HeartbeatKind::Request, &events);
    let input = ReadinessInput::collect(at(40), &table, &peers);
    assert!(input.has_documents && input.behind);
    assert_eq!(
        input.platform_reads,
        PlatformReads { answered_at: Some(at(10)), current_at: Some(at(10)) }
    );
    assert_eq!(input.connectivity.majority_heard_at, Some(at(30)));
    let (refused, peer) = (Err("bad".to_owned()), vm("e2"));
    table.offer_config(at(50), newer, refused, b"", Source::Peer(&peer), &events);
    assert!(
        !ReadinessInput::collect(at(50), &table, &peers).behind,
        "a refused document is not missing"
    );
}

/// Guards against an entry that is not fenced because it hears a majority of the entries of a
/// previous, shorter VM list.
#[test]
fn longer_list() {
    let (readiness, peers, events) =
        (Readiness::new(at(0)), Peers::new(vm("e1"), at(0)), Events::default());
    let update = || {
        let input =
            ReadinessInput { connectivity: peers.connectivity(), ..ReadinessInput::default() };
        readiness.update(at(100), &input, &events);
        readiness.is_fenced(at(100))
    };
    peers.update_list(at(0), &list(1, &["e1", "e2"]));
    peers.merge_heartbeat(at(100), &vm("e2"), heartbeat(1, 1), HeartbeatKind::Request, &events);
    assert!(!update());
    peers.update_list(at(100), &list(2, &["e1", "e2", "e3", "e4"]));
    assert!(update());
    assert_eq!(events.take(), [Event::Fenced]);
}

/// Guards against fetching a document of 1 MB from all peers at the same time, and against waiting
/// for a peer that does not deliver it.
#[test]
fn fetch_limiter() {
    let mut limiter = FetchLimiter::default();
    let version = DocumentVersion { number: 2, digest: 1 };
    let (first, second) = ((vm("e2"), version), (vm("e3"), version));
    let candidates = [first.clone(), second.clone()];
    assert_eq!(limiter.start(at(0), &candidates), Some(&first));
    assert_eq!(limiter.start(at(1), &candidates), None, "one at a time");
    limiter.finish(at(10), &first.0, false);
    assert_eq!(limiter.start(at(10), &candidates), Some(&second), "the next one after a failure");
    limiter.finish(at(20), &second.0, false);
    assert_eq!(limiter.start(at(1_009), &candidates), None, "both failed lately");
    assert_eq!(limiter.start(at(1_010), &candidates), Some(&first));
    assert_eq!(limiter.start(at(3_009), &candidates), None);
    assert_eq!(limiter.start(at(3_010), &candidates), Some(&first), "the fetch was never ended");
    limiter.finish(at(3_020), &first.0, true);
    assert_eq!(limiter.start(at(3_020), &candidates), Some(&first), "a success causes no delay");
}
