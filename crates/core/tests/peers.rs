//! The table of peers: which are live, which may hold servers, which have free slots and which have
//! newer documents.

mod intent_support;

use crate::intent_support::*;
use jackdawpin_core::holder::member::Capacity;
use jackdawpin_core::holder::member::MAX_PEERS;

/// A heartbeat with the given free slots for each service.
fn with_free(clock: u64, free: &[(&str, u32)]) -> Heartbeat {
    let capacity = |(name, free): &(&str, u32)| {
        let service = service(name);
        Capacity { service, limit: 8, free: *free }
    };
    Heartbeat { capacity: free.iter().map(capacity).collect(), ..heartbeat(1, clock) }
}

/// A table of entry `e1` that started at 0, with `e1` to `e4` on the list.
fn peers() -> Peers {
    let peers = Peers::new(vm("e1"), at(0));
    peers.update_list(at(0), &list(1, &["e1", "e2", "e3", "e4"]));
    peers
}

/// Runs the table's timer each second after `from` up to and including `to`, in seconds.
fn tick(peers: &Peers, from: u64, to: u64, events: &Events) {
    for second in from + 1..=to {
        peers.tick(at(second * 1000), events);
    }
}

/// Guards against holders that do not answer or are leaving, and against an entry that takes over
/// all servers when it starts. `e2` is last heard at `heard` and checked at `now`, in milliseconds.
#[rstest]
#[case::not_heard_yet(&["e1", "e2"], None, false, 3_000, true)]
#[case::never_heard(&["e1", "e2"], None, false, 3_001, false)]
#[case::heard(&["e1", "e2"], Some(10_000), false, 13_000, true)]
#[case::silent(&["e1", "e2"], Some(10_000), false, 13_001, false)]
#[case::silent_soon_after_start(&["e1", "e2"], Some(0), false, 3_001, false)]
#[case::reports_leaving(&["e1", "e2"], Some(10_000), true, 10_000, false)]
#[case::listed_leaving(&["e1", "-e2"], Some(10_000), false, 10_000, false)]
#[case::not_listed(&["e1"], Some(10_000), false, 10_000, false)]
fn available(
    #[case] entries: &[&str],
    #[case] heard: Option<u64>,
    #[case] leaving: bool,
    #[case] now: u64,
    #[case] expected: bool,
) {
    let (peers, events) = (Peers::new(vm("e1"), at(0)), Events::default());
    peers.update_list(at(0), &list(1, entries));
    tick(&peers, 0, heard.unwrap_or(0) / 1000, &events);
    if let Some(heard) = heard {
        let heartbeat = Heartbeat { leaving, ..heartbeat(1, 1) };
        peers.merge_heartbeat(at(heard), &vm("e2"), heartbeat, HeartbeatKind::Request, &events);
    }
    assert_eq!(peers.available(&vm("e2"), at(now)), expected);
    assert!(peers.available(&vm("e1"), at(now)), "this entry itself");
    let all = peers.all_available(at(now));
    assert_eq!(all.contains(&vm("e2")), expected);
    assert!(all.contains(&vm("e1")) && all.is_sorted());
}

/// Guards against a silent peer that is reported at each tick, or never.
#[test]
fn silence_reported_once() {
    let (peers, events) = (peers(), Events::default());
    let hear = |name: &str, second: u64| {
        let heartbeat = heartbeat(1, second);
        peers.merge_heartbeat(
            at(second * 1000),
            &vm(name),
            heartbeat,
            HeartbeatKind::Request,
            &events,
        )
    };
    for second in 1..=9 {
        hear("e2", second);
        if second <= 2 {
            hear("e3", second);
        }
        peers.tick(at(second * 1000), &events);
    }
    assert_eq!(events.take(), [Event::PeerSilent(vm("e4")), Event::PeerSilent(vm("e3"))]);
    hear("e3", 10);
    hear("e4", 10);
    peers.tick(at(10_000), &events);
    assert_eq!(events.take(), [Event::PeerHeard(vm("e3")), Event::PeerHeard(vm("e4"))]);
    peers.update_list(at(10_000), &list(2, &["e1", "-e2", "e3"]));
    for second in 11..=15 {
        hear("e3", second);
        peers.tick(at(second * 1000), &events);
    }
    assert_eq!(events.take(), [], "leaving and removed entries are expected to be silent");
}

/// Guards against state of a previous process that survives a restart, and against late messages
/// that replace newer ones. The known heartbeat has incarnation 5 and clock 50 and was received at
/// 10 s.
#[rstest]
#[case::next_clock(5, 51, 11_000, true)]
#[case::same_clock(5, 50, 11_000, false)]
#[case::earlier_clock(5, 49, 11_000, false)]
#[case::restarted(6, 1, 11_000, true)]
#[case::previous_process(4, 99, 11_000, false)]
#[case::restarted_with_wrong_wall_clock(4, 99, 13_001, true)]
#[case::earlier_clock_of_silent_peer(5, 49, 13_001, false)]
fn newer_heartbeat_replaces(
    #[case] incarnation: u64,
    #[case] clock: u64,
    #[case] now: u64,
    #[case] expected: bool,
) {
    let (peers, events) = (peers(), Events::default());
    let hear = |now: u64, heartbeat: Heartbeat| {
        peers.merge_heartbeat(at(now), &vm("e2"), heartbeat, HeartbeatKind::Request, &events)
    };
    tick(&peers, 0, 10, &events);
    hear(10_000, Heartbeat { capacity: with_free(0, &[("s", 4)]).capacity, ..heartbeat(5, 50) });
    tick(&peers, 10, now / 1000, &events);
    assert_eq!(hear(now, heartbeat(incarnation, clock)), expected);
    let status = &peers.statuses()[0];
    assert_eq!(status.incarnation, Some(if expected { incarnation } else { 5 }));
    let heard = if expected { now } else { 10_000 };
    assert_eq!(status.last_heard, Some(at(heard)), "an ignored heartbeat does not count as heard");
    assert_eq!(peers.holders("s", at(10_000)).is_empty(), expected);
}

/// Guards against a process that, after a suspension, takes messages from before the suspension for
/// proof that their senders are live.
#[test]
fn suspension() {
    let (peers, events) = (peers(), Events::default());
    // Merges a heartbeat and returns when the peer was last heard.
    let last_heard = |now: u64, clock: u64, kind: HeartbeatKind| {
        peers.merge_heartbeat(at(now), &vm("e2"), heartbeat(1, clock), kind, &events);
        peers.statuses()[0].last_heard.unwrap()
    };
    let response = |sent_at: u64| HeartbeatKind::Response { request_sent_at: at(sent_at) };
    assert_eq!(last_heard(1_000, 1, HeartbeatKind::Request), at(1_000));
    // The process is suspended until 61 s, while it waits for a response and a request waits in a
    // socket.
    assert_eq!(last_heard(61_000, 2, response(1_000)), at(1_000));
    assert_eq!(last_heard(61_001, 3, HeartbeatKind::Request), at(1_000));
    assert!(!peers.available(&vm("e2"), at(61_001)));
    assert_eq!(last_heard(61_010, 4, response(61_005)), at(61_005));
    peers.tick(at(62_000), &events);
    assert_eq!(last_heard(62_001, 5, HeartbeatKind::Request), at(62_001));
    // A response that a later request overtook has no newer content, but proves that the peer ran.
    assert_eq!(last_heard(62_500, 4, response(62_400)), at(62_400));
}

/// Guards against forwards to peers without free slots, against herding on one of equally good
/// peers, and against an estimate that ignores forwarded requests and the free slots in replies.
#[test]
fn free_slots() {
    let (peers, events) = (peers(), Events::default());
    let hear = |name: &str, heartbeat: Heartbeat| {
        peers.merge_heartbeat(at(1_000), &vm(name), heartbeat, HeartbeatKind::Request, &events);
    };
    let free = |name: &str| {
        let peers = peers.with_free_slots(name, at(2_000));
        peers.iter().map(|peer| format!("{} {};", peer.vm, peer.free)).collect::<String>()
    };
    hear("e2", with_free(1, &[("t", 9), ("s", 2)]));
    hear("e3", with_free(1, &[("s", 3)]));
    hear("e4", Heartbeat { ready: false, ..with_free(1, &[("s", 8)]) });
    hear("e5", with_free(1, &[("s", 9)]));
    assert_eq!(free("s"), "e3 3;e2 2;", "e4 is not ready, e5 not listed");
    peers.take_free_slot(&vm("e3"), &service("s"));
    peers.take_free_slot(&vm("e3"), &service("s"));
    assert_eq!(free("s"), "e2 2;e3 1;");
    peers.take_free_slot(&vm("e3"), &service("s"));
    peers.take_free_slot(&vm("e3"), &service("s"));
    assert_eq!(free("s"), "e2 2;");
    assert_eq!(peers.holders("s", at(2_000)).len(), 2, "e3 still holds servers");
    peers.set_free_slots(&vm("e3"), &service("s"), 5);
    peers.set_free_slots(&vm("e2"), &service("u"), 1);
    assert_eq!(free("s"), "e3 5;e2 2;");
    assert_eq!(free("u"), "e2 1;");
    hear("e2", with_free(2, &[("s", 5)]));
    assert_eq!(free("t"), "", "a heartbeat replaces everything");
    assert!(peers.with_free_slots("s", at(4_001)).is_empty(), "all are silent");
    let names = ["e01", "e02", "e03", "e04", "e05", "e06", "e07", "e08"];
    let first_choice = |own: &str| {
        let peers = Peers::new(vm(own), at(0));
        peers.update_list(at(0), &list(1, &names));
        for name in names {
            peers.merge_heartbeat(
                at(1),
                &vm(name),
                with_free(1, &[("s", 1)]),
                HeartbeatKind::Request,
                &events,
            );
        }
        peers.with_free_slots("s", at(1))[0].vm.clone()
    };
    let chosen: std::collections::BTreeSet<_> = names.map(first_choice).into_iter().collect();
    assert!(chosen.len() > 2, "all forward to {chosen:?}");
}

/// Guards against a document that is fetched from a peer that has none newer, or is fetched
/// repeatedly although it is refused.
#[test]
fn peers_with_newer_documents() {
    let (peers, events) = (peers(), Events::default());
    let version = |number: u64| DocumentVersion { number, digest: 1 };
    for (name, revision) in [("e2", 7), ("e3", 9), ("e5", 8)] {
        let heartbeat = Heartbeat {
            config_version: Some(version(revision)),
            list_version: Some(version(1)),
            ..heartbeat(1, 1)
        };
        peers.merge_heartbeat(at(1_000), &vm(name), heartbeat, HeartbeatKind::Request, &events);
    }
    let newer = |now: u64, own: Option<u64>, refused: &[DocumentVersion]| {
        let newer = peers.with_newer_config(at(now), own.map(version), refused);
        newer.iter().map(|(vm, version)| format!("{vm} {};", version.number)).collect::<String>()
    };
    // e5 is not on the VM list in force, but may be on the newer list that this entry lacks.
    assert_eq!(newer(2_000, None, &[]), "e3 9;e5 8;e2 7;");
    assert_eq!(newer(2_000, Some(7), &[version(9)]), "e5 8;");
    assert_eq!(newer(2_000, Some(9), &[]), "");
    assert_eq!(newer(4_001, None, &[]), "", "silent peers are not asked");
    assert!(peers.with_newer_list(at(2_000), Some(version(1)), &[]).is_empty());
}

/// Guards against memory that grows with invented names, and against heartbeats under this entry's
/// own name.
#[test]
fn table_is_bounded() {
    let (peers, events) = (peers(), Events::default());
    let hear = |name: &str, now: u64| {
        peers.merge_heartbeat(
            at(now),
            &vm(name),
            heartbeat(1, now),
            HeartbeatKind::Request,
            &events,
        )
    };
    let accepted = (0..2 * MAX_PEERS).filter(|index| hear(&format!("x{index}"), 100)).count();
    assert_eq!(accepted, MAX_PEERS - 3);
    assert!(hear("e2", 200), "listed entries are still heard");
    assert!(!hear("e1", 200));
    tick(&peers, 0, 4, &events);
    assert_eq!(peers.statuses().len(), 3);
}

proptest! {
    #![proptest_config(deterministic(256))]

    /// Guards against late messages that replace newer ones: whatever the order of arrival, the
    /// latest heartbeat of the latest incarnation is kept.
    #[test]
    fn latest_heartbeat_is_kept(heartbeats in prop::collection::vec((1u64..4, 0u64..20), 1..30)) {
        let (peers, events) = (peers(), Events::default());
        let mut latest = (0, 0);
        for (incarnation, clock) in heartbeats {
            let config_version =
                Some(DocumentVersion { number: incarnation * 100 + clock, digest: 0 });
            let heartbeat = Heartbeat { config_version, ..heartbeat(incarnation, clock) };
            let accepted = peers.merge_heartbeat(
                at(500),
                &vm("e2"),
                heartbeat,
                HeartbeatKind::Request,
                &events,
            );
            prop_assert_eq!(accepted, (incarnation, clock) > latest);
            latest = latest.max((incarnation, clock));
            let expected = DocumentVersion { number: latest.0 * 100 + latest.1, digest: 0 };
            prop_assert_eq!(peers.statuses()[0].config_version, Some(expected));
        }
    }

    /// Guards against a fence that counts the majority wrong: `majority_heard_at` is the latest
    /// time such that a majority of the live entries on the list, including this one, was heard
    /// then or later.
    #[test]
    fn connectivity(heard_at in prop::collection::vec(prop::option::of(0u64..1_000), 0..9)) {
        let events = Events::default();
        let names: Vec<String> = (0..heard_at.len()).map(|index| format!("p{index}")).collect();
        let mut listed: Vec<&str> = names.iter().map(String::as_str).collect();
        listed.extend(["e1", "-gone"]);
        let peers = Peers::new(vm("e1"), at(0));
        peers.update_list(at(0), &list(1, &listed));
        let unlisted = ["gone", "other"].map(|name| (name.to_owned(), Some(999)));
        for (name, time) in names.iter().cloned().zip(heard_at.clone()).chain(unlisted) {
            if let Some(time) = time {
                peers.merge_heartbeat(
                    at(time),
                    &vm(&name),
                    heartbeat(1, 1),
                    HeartbeatKind::Request,
                    &events,
                );
            }
        }
        let connectivity = peers.connectivity();
        let times: Vec<u64> = heard_at.iter().flatten().copied().collect();
        let heard_since = |time: u64| times.iter().filter(|heard| **heard >= time).count();
        let majority = |time: &u64| 2 * (heard_since(*time) + 1) > heard_at.len() + 1;
        let has_peers = !heard_at.is_empty();
        let expected = (0..1_000).rev().find(majority).filter(|_| has_peers).map(at);
        prop_assert_eq!(connectivity.majority_heard_at, expected);
        prop_assert_eq!((connectivity.peers, connectivity.heard), (heard_at.len(), times.len()));
        prop_assert_eq!(connectivity.untried, heard_at.len() - times.len());
    }
}
