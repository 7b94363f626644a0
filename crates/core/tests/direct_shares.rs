//! Limits that entries share without coordination: the rate of cold servers, the retry budget, the
//! probes and the readers of the store.
#![allow(clippy::unwrap_used)]

mod direct_support;

use proptest::prelude::prop;
use proptest::prelude::proptest;
use proptest::prop_assert;

use crate::direct_support::at;
use crate::direct_support::member;
use crate::direct_support::ms;
use jackdawpin_core::direct::cold;
use jackdawpin_core::direct::cold::SendWindow;
use jackdawpin_core::direct::fleet;
use jackdawpin_core::direct::peers::Peers;
use jackdawpin_core::direct::probes;
use jackdawpin_core::direct::replica;
use jackdawpin_core::direct::retries::Limit;
use jackdawpin_core::direct::retries::Window;

proptest! {
    /// Guards against a cold server that gets more than it can take while entries have two views of
    /// the live entries: each view has owners of its own.
    #[test]
    fn cold_rate_with_two_views(
        first in prop::collection::btree_set(1u8..40, 1..20),
        second in prop::collection::btree_set(1u8..40, 1..20),
        rate in 10.0f64..40.0,
    ) {
        let owners = |view: &std::collections::BTreeSet<u8>| -> Vec<u8> {
            let domain = |number: u8| ["a", "b", "c", "d"][usize::from(number % 4)];
            view.iter().copied()
                .filter(|own| {
                    let entry = Peers::new(member(*own, domain(*own)), Vec::new());
                    for number in view {
                        let peer = member(*number, domain(*number));
                        entry.receive(peer.ip, [peer], at(1_000));
                    }
                    entry.rank_for_server("s1", "b", &[], at(1_000)) < cold::OWNER_COUNT
                })
                .collect()
        };
        let mut all: Vec<u8> = owners(&first);
        all.extend(owners(&second));
        all.sort_unstable();
        all.dedup();
        let allowance = fleet::cold_allowance(rate);
        let mut sent = 0;
        for _ in all {
            let mut sends = SendWindow::default();
            sent += (0..1_000).filter(|step| sends.try_send(at(1_000 + step), allowance)).count();
        }
        prop_assert!(sent as f64 <= rate, "{sent} in a second, the server can take {rate}");
    }

    /// Guards against entries that together retry more than the budget allows, in any window,
    /// however the requests are distributed over them.
    #[test]
    fn retry_budget(
        steps in prop::collection::vec((0usize..5, 0u64..40, prop::bool::ANY), 200..600),
    ) {
        let limit = Limit { ratio: 0.2, slack: 10.0, window: ms(10_000) };
        let mut entries: Vec<Window> = (0..5).map(|_| Window::default()).collect();
        let mut now = 10_000;
        let mut events: Vec<(u64, bool)> = Vec::new();
        for (entry, pause, retry) in steps {
            now += pause;
            if !retry {
                entries[entry].count_request(at(now), &limit);
                events.push((now, false));
            } else if entries[entry].try_retry(at(now), &limit, 5) {
                events.push((now, true));
            }
        }
        for (end, _) in &events {
            let window = || events.iter().filter(|(at, _)| *at <= *end && at + 10_000 > *end);
            let retries = window().filter(|(_, retry)| *retry).count() as f64;
            // All requests so far count, also those before the window.
            let requests = events.iter().filter(|(at, retry)| !retry && *at <= *end).count();
            prop_assert!(retries <= 0.2 * requests as f64 + 10.0);
        }
    }
}

/// Guards against a budget that allows too few retries.
#[test]
fn retry_budget_is_used() {
    let limit = Limit { ratio: 0.2, slack: 10.0, window: ms(10_000) };
    let mut window = Window::default();
    let allowed = (0..100)
        .filter(|step| {
            window.count_request(at(1_000 + step), &limit);
            window.try_retry(at(1_000 + step), &limit, 1)
        })
        .count();
    assert!((15..=21).contains(&allowed), "{allowed}");
}

/// Guards against probes beyond the limit: as the saved probes shrink, fewer servers are probed at
/// once.
#[test]
fn probe_budget() {
    let (rate, servers, entries) = (60.0, 30, 10);
    let mut budget = probes::Budget::default();
    let mut sent = 0;
    for millis in 0..20_000 {
        budget.refill(at(1_000 + millis), rate, servers, entries);
        // A request in each millisecond, ten times as many as the budget has probes for.
        let count = budget.allowed_now();
        if count > 1 {
            budget.spend(count);
            sent += count;
        }
    }
    let allowed = rate * servers as f64 / entries as f64 * 20.0;
    assert!(sent as f64 <= allowed * 1.05, "{sent} of {allowed}");
    assert!(sent as f64 >= allowed * 0.5, "{sent} of {allowed}");
}

/// Guards against entries that all read the store at the same moment when the reader has failed,
/// and against one that waits so long that changes are not in force within 2 s.
#[test]
fn proof_timeouts_differ_by_rank() {
    let timeouts: Vec<_> = (0..30).map(replica::proof_timeout).collect();
    assert!(timeouts[0].is_zero(), "the first reads");
    assert!(
        timeouts[1] > replica::WATCH_WAIT + ms(250),
        "the second leaves time for a slow answer"
    );
    for rank in 2..replica::READER_COUNT + 7 {
        assert!(
            timeouts[rank] >= timeouts[rank - 1] + ms(50),
            "{rank} waits for the one before it"
        );
    }
    assert!(
        timeouts.iter().all(|time| *time <= ms(1_750)),
        "all read within the bound: {timeouts:?}"
    );
}

/// Guards against entries that all send everything to all others. When the store was unavailable
/// for half of 137 entries, the entries that read it themselves saturated the links, and a change
/// arrived 3 s late (a test day of the large Authority site, seed 716845262339).
#[test]
fn few_entries_send_updates() {
    let senders = (0..137).filter(|rank| replica::sends_updates(Some(*rank))).count();
    assert!((2..=8).contains(&senders), "{senders}");
    let last = replica::proof_timeout(senders - 1);
    assert!(
        last < replica::proof_timeout(senders),
        "entries that send updates read before all others"
    );
    assert!(
        !replica::sends_updates(None),
        "an entry that has not heard from peers yet sends no updates"
    );
    assert!(
        (0..senders).all(|rank| replica::peer_list_wait(Some(rank)).is_zero()),
        "no entry would read the whole state"
    );
    assert!(
        !replica::peer_list_wait(Some(senders)).is_zero(),
        "all entries would read the whole state at once"
    );
}

/// Guards against entries that call an unavailable store all the time, and against an entry that
/// takes longer than 2 s to notice that it is available again. On large sites, 99 entries made 628
/// calls in an outage of 2.5 s.
#[test]
fn backoff_grows() {
    for rank in [Some(0), Some(7), Some(50), None] {
        let pauses: Vec<_> = (0..12).map(|failures| replica::backoff(failures, rank)).collect();
        assert!(pauses.is_sorted(), "{pauses:?}");
        assert!(*pauses.last().unwrap() <= ms(1_600), "{pauses:?}");
        assert!(pauses[5] >= pauses[0] * 8, "{pauses:?}");
    }
    assert!(replica::backoff(3, Some(50)) > replica::backoff(3, Some(0)));
}
