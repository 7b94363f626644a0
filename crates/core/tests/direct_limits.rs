//! Servers that name rate limits.
#![allow(clippy::unwrap_used)]

mod direct_support;

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use crate::direct_support::PausedClock;
use crate::direct_support::SeededRandom;
use crate::direct_support::at;
use crate::direct_support::content;
use crate::direct_support::member;
use crate::direct_support::ms;
use crate::direct_support::queues::QueueServers;
use crate::direct_support::route;
use jackdawpin_core::direct::config::Route;
use jackdawpin_core::direct::dispatch::Call;
use jackdawpin_core::direct::dispatch::Completion;
use jackdawpin_core::direct::dispatch::Dispatcher;
use jackdawpin_core::direct::peers::Member;
use jackdawpin_core::direct::port::NamedLimit;
use jackdawpin_core::direct::rate_limit;
use jackdawpin_core::direct::rate_limit::Bucket;
use jackdawpin_core::direct::rate_limit::RateLimit;
use jackdawpin_core::outcome::Outcome;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_core::port::Clock;

const ENTRIES: u8 = 16;

const SERVERS: u16 = 10;

type Entry = Dispatcher<QueueServers, PausedClock, SeededRandom>;

/// A request that has ended.
struct Served {
    priority: u32,
    completion: Completion,
    took: Duration,
}

fn limit(per_second: f64) -> RateLimit {
    RateLimit::try_from(per_second).unwrap()
}

fn is_answered(served: &&Served) -> bool {
    matches!(served.completion.outcome, Outcome::Answered(_))
}

/// Sends `per_second` requests to random entries for `time`, of priorities 0 and 2 in turn.
async fn replay(servers: &QueueServers, per_second: f64, time: Duration) -> Vec<Served> {
    let entries: Vec<_> = (1..=ENTRIES).map(|number| servers.entry(number, ENTRIES)).collect();
    let mut random = fastrand::Rng::with_seed(3);
    let begun = tokio::time::Instant::now();
    let mut tasks = Vec::new();
    let mut beats = 0;
    while begun.elapsed() < time {
        let pause = -(1.0 - random.f64()).ln() / per_second;
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
        if begun.elapsed().as_secs() >= beats {
            beats += 1;
            beat(&entries, beats);
        }
        let priority = if tasks.len() % 2 == 0 { 0 } else { 2 };
        let entry = Arc::clone(&entries[random.usize(..entries.len())]);
        tasks.push(tokio::spawn(serve(entry, priority, tasks.len())));
    }
    let mut ended = Vec::new();
    for task in tasks {
        ended.push(task.await.unwrap());
    }
    ended
}

/// Lets all entries receive a heartbeat of all others.
fn beat(entries: &[Arc<Entry>], heartbeat: u64) {
    for entry in entries {
        for number in 1..=ENTRIES {
            let peer = Member { heartbeat, ..member(number, "a") };
            entry.peers.receive(peer.ip, [peer], entry.clock().now());
        }
    }
}

async fn serve(entry: Arc<Entry>, priority: u32, number: usize) -> Served {
    let (content, received) = (content(), entry.clock().now());
    let route = Route { priority, ..route(true) };
    let call = Call {
        id: &number.to_string(),
        route: &route,
        received,
        caller_timeout: Some(ms(1_200)),
        waited: Duration::ZERO,
        content: &content,
        upload: None,
        origin: None,
    };
    let completion = entry.serve(call).await;
    Served { priority, completion, took: entry.clock().now().since(received) }
}

/// The most requests that arrived at a server in 4 s, from `start` on.
fn most_in_window(servers: &QueueServers, server: u16, start: Duration) -> usize {
    let arrivals = servers.arrivals(server);
    let late: Vec<Duration> = arrivals.into_iter().filter(|at| *at >= start).collect();
    let in_window = |from: &Duration| {
        late.iter().filter(|at| **at >= *from && **at < *from + ms(4_000)).count()
    };
    late.iter().map(in_window).max().unwrap_or(0)
}

/// Guards against entries that send to a server more than the limit that it names for all of them
/// together. Seven of ten servers name a limit far below what they get otherwise.
#[rstest]
#[case::none(0.0)]
#[case::low(1.0)]
#[case::several_owners(7.5)]
#[tokio::test(start_paused = true)]
async fn server_gets_more_than_it_names(#[case] per_second: f64) {
    let servers = QueueServers::new(SERVERS, 6, ms(60));
    for number in 1..=7 {
        servers.name_limit(number, NamedLimit::Limit(limit(per_second)));
    }
    let ended = replay(&servers, 100.0, ms(14_000)).await;
    for number in 1..=7 {
        let most = most_in_window(&servers, number, ms(100));
        assert!(most as f64 <= 4.0 * per_second + 5.0, "server {number} got {most} in 4 s");
        if per_second > 0.0 {
            let all = servers.arrivals(number).len() as f64;
            assert!(all >= 14.0 * per_second * 0.5, "server {number} got {all}: places are unused");
        }
    }
    let answered = ended.iter().filter(is_answered).count();
    assert!(answered * 100 >= ended.len() * 98, "{answered} of {} answered", ended.len());
}

/// Guards against requests that wait although all servers are limited and none can take them, against
/// callers that are told to come back at once, and against urgent requests that come too late for
/// the few places.
#[tokio::test(start_paused = true)]
async fn all_servers_are_limited() {
    let servers = QueueServers::new(SERVERS, 6, ms(60));
    for number in 1..=SERVERS {
        servers.name_limit(number, NamedLimit::Limit(limit(2.0)));
    }
    let ended = replay(&servers, 60.0, ms(14_000)).await;
    for number in 1..=SERVERS {
        let most = most_in_window(&servers, number, ms(100));
        assert!(most <= 13, "server {number} got {most} in 4 s");
    }
    let answered = |priority| {
        ended.iter().filter(is_answered).filter(|served| served.priority == priority).count()
    };
    let (urgent, other) = (answered(0), answered(2));
    assert!(urgent + other >= 14 * 20 * 8 / 10, "{urgent} and {other} answered");
    assert!(urgent * 10 >= other * 12, "{urgent} urgent and {other} other requests answered");
    for served in ended.iter().filter(|served| !is_answered(served)) {
        assert_eq!(served.completion.outcome, Outcome::Refused(Refusal::RateLimit));
        assert!(served.took <= ms(50), "refused after {:?}", served.took);
        assert!(served.completion.retry_after.unwrap() >= ms(120));
    }
}

/// Guards against entries that each send a request at once when they learn of a limit. 16 entries have
/// just started, and none knows the others yet.
#[tokio::test(start_paused = true)]
async fn all_entries_start_at_once() {
    let servers = QueueServers::new(4, 6, ms(60));
    for number in 1..=4 {
        servers.name_limit(number, NamedLimit::Limit(limit(1.0)));
    }
    let entries: Vec<_> = (1..=ENTRIES).map(|number| servers.entry(number, 1)).collect();
    let begun = tokio::time::Instant::now();
    let mut tasks = Vec::new();
    while begun.elapsed() < ms(300) {
        for entry in &entries {
            tasks.push(tokio::spawn(serve(Arc::clone(entry), 0, tasks.len())));
        }
        tokio::time::sleep(ms(50)).await;
    }
    for task in tasks {
        task.await.unwrap();
    }
    let most = (1..=4).map(|number| servers.arrivals(number).len()).max().unwrap();
    assert!(most <= 9, "a server got {most} requests in 0.3 s");
}

/// Guards against a server that stays limited after it has stopped to name a limit.
#[tokio::test(start_paused = true)]
async fn limit_ends() {
    let servers = QueueServers::new(1, 6, ms(60));
    servers.name_limit(1, NamedLimit::Limit(limit(0.0)));
    let ended = replay(&servers, 20.0, ms(2_000)).await;
    assert_eq!(ended.iter().filter(is_answered).count(), 0);
    servers.name_limit(1, NamedLimit::None);
    let ended = replay(&servers, 20.0, ms(4_000)).await;
    let answered = ended.iter().filter(is_answered).count();
    assert!(answered * 10 >= ended.len() * 7, "{answered} of {} answered", ended.len());
}

/// Guards against shares that add up to more than the limit, or that none but a few entries could
/// use up.
#[rstest]
#[case(0.0, 16)]
#[case(1.0, 1)]
#[case(1.0, 152)]
#[case(7.5, 16)]
#[case(400.0, 152)]
#[case(1e300, 16)]
fn shares_add_up_to_the_limit(#[case] per_second: f64, #[case] entries: usize) {
    let shares = (0..entries).map(|rank| rate_limit::share(limit(per_second), rank, entries));
    let sum: f64 = shares.clone().sum();
    assert!((sum - per_second).abs() <= per_second * 1e-9, "{sum} of {per_second}");
    let largest = shares.fold(0.0, f64::max);
    let fair = (per_second / entries as f64).max(2.0).max(per_second / 3.0);
    assert!(largest <= fair.max(per_second / entries.min(3) as f64), "{largest}");
}

/// Guards against numbers that are taken for a limit.
#[rstest]
#[case(-1.0)]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
fn invalid_limit(#[case] per_second: f64) {
    assert!(RateLimit::try_from(per_second).is_err());
}

/// Guards against an owner that saves up its share and sends many requests at once.
#[test]
fn unused_share_is_not_saved() {
    let mut bucket = Bucket::new(0.5, at(0));
    bucket.set_share(1.0, at(0));
    let sent = (0..10).filter(|_| bucket.try_send(0, at(60_000))).count();
    assert_eq!(sent, 1);
    assert!(!bucket.allows(0, at(60_400)));
    assert_eq!(bucket.wait(0, at(60_400)), Some(ms(100)));
    assert!(bucket.allows(0, at(60_500)) && !bucket.allows(2, at(60_500)));
}
