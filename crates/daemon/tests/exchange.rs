//! Exchanges with servers that answer well, badly, late or not at all, on loopback.

#![allow(clippy::unwrap_used, reason = "allowed in test functions only, not in their helpers")]

mod stand;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use rstest::rstest;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use self::stand::Act;
use self::stand::Act::Close;
use self::stand::Act::Read;
use self::stand::LIMIT;
use self::stand::Stand;
use self::stand::answer;
use self::stand::whole;
use jackdawpin_core::holder::port::Peer as _;
use jackdawpin_core::holder::port::Reply;
use jackdawpin_core::holder::port::Upstream as _;
use jackdawpin_core::name;
use jackdawpin_core::outcome::Evidence;
use jackdawpin_core::outcome::NotRun;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_core::outcome::UnknownReason;
use jackdawpin_core::port::Clock;
use jackdawpin_core::request::Attempt;
use jackdawpin_core::request::Content;
use jackdawpin_core::request::Header;
use jackdawpin_core::request::Id;
use jackdawpin_core::request::Request as Call;
use jackdawpin_daemon::clock::BootClock;
use jackdawpin_daemon::exchange::Client;
use jackdawpin_daemon::exchange::Error;
use jackdawpin_daemon::peer::Peer;
use jackdawpin_daemon::upstream::Upstream;

const REPORT: &str = "endpoint-load-metrics: JSON {\"named_metrics\":{\"warm\":1,\"boot\":7,\"in_flight\":2,\"slots\":3}}\r\n";

/// Time for a close to arrive on loopback.
const SETTLE: Duration = Duration::from_millis(50);

fn upstream() -> Upstream<BootClock> {
    Upstream::new(Arc::new(Client::default()), BootClock)
}

/// Sends the request `id` as attempt 2.
async fn send(
    upstream: &Upstream<BootClock>,
    address: SocketAddr,
    id: &str,
    time: Duration,
) -> Reply {
    let request = order(id, time);
    timeout(LIMIT, upstream.send(address, attempt(&request))).await.unwrap()
}

fn attempt(request: &Call) -> Attempt<'_> {
    Attempt { request, number: 2, deadline: request.deadline, answer_limit: 16 }
}

fn order(id: &str, time: Duration) -> Call {
    let header = |name: &str| Header { name: name.into(), value: Bytes::from_static(b"v") };
    Call {
        id: Id::try_from(id).unwrap(),
        service: name::Service::try_from("orders").unwrap(),
        received: BootClock.now(),
        deadline: BootClock.now() + time,
        idempotent: false,
        content: Content {
            method: "POST".into(),
            path: "/order?n=1".into(),
            headers: vec![header("x-kind"), header("te")],
            body: Bytes::from_static(b"four"),
        },
    }
}

fn status(reply: &Reply) -> Option<u16> {
    match &reply.evidence {
        Evidence::Ran(answer) => Some(answer.status),
        _ => None,
    }
}

fn cut(fields: &str, body: &str) -> Act {
    let ids = "x-request-id: a\r\nx-attempt: 2\r\n";
    Act::Write(format!("HTTP/1.1 200 OK\r\n{ids}{fields}\r\n{body}"))
}

fn ids(fields: &str) -> Act {
    whole(200, fields, "")
}

const UNSENT: Evidence = Evidence::NotRun(NotRun::NotSent);
const SHED: Evidence = Evidence::NotRun(NotRun::Shed);
const BROKEN: Evidence = Evidence::MayHaveRun(UnknownReason::Broken);
const FULL: Evidence = Evidence::NotRun(NotRun::Refused(Refusal::Full));
const BAD: Evidence = Evidence::MayHaveRun(UnknownReason::BadAnswer);
const LATE: Evidence = Evidence::MayHaveRun(UnknownReason::Timeout);

/// Guards against answers that prove something else than what happened, and against a connection
/// that is used again after anything but a whole answer of its own.
#[rstest]
#[case::closed_after_the_request(vec![Read, Close], BROKEN)]
#[case::cut_head(vec![Read, Act::Write("HTTP/1.1 200 OK\r\nx-re".into()), Close], BROKEN)]
#[case::no_http(vec![Read, Act::Write("hello\r\n\r\n".into()), Close], BROKEN)]
#[case::cut_body(vec![Read, cut("content-length: 9\r\n", "1234"), Close], BAD)]
#[case::cut_chunks(vec![Read, cut("transfer-encoding: chunked\r\n", "4\r\n12"), Close], BAD)]
#[case::too_long(vec![Read, answer("a", "2", "", "12345678901234567")], BAD)]
#[case::no_answer(vec![Read], LATE)]
#[case::slow_body(vec![Read, cut("content-length: 9\r\n", "1234")], LATE)]
#[case::no_id(vec![Read, ids("x-attempt: 2\r\n")], BAD)]
#[case::no_attempt(vec![Read, ids("x-request-id: a\r\n")], BAD)]
#[case::other_id(vec![Read, answer("b", "2", "", "")], BAD)]
#[case::other_case(vec![Read, answer("A", "2", "", "")], BAD)]
#[case::other_attempt(vec![Read, answer("a", "1", "", "")], BAD)]
#[case::no_number(vec![Read, answer("a", "two", "", "")], BAD)]
#[case::shed_without_ids(vec![Read, whole(503, "x-not-run: 1\r\n", "")], BAD)]
#[tokio::test]
async fn a_bad_end_proves_no_more_than_it_shows(
    #[case] script: Vec<Act>,
    #[case] expected: Evidence,
) {
    let good = vec![Read, answer("a", "2", "", "")];
    let stand = Stand::start(vec![script, good]).await;
    let upstream = upstream();
    let reply = send(&upstream, stand.address, "a", Duration::from_millis(150)).await;
    assert_eq!(reply.evidence, expected);
    assert_eq!(reply.report, None);
    let next = send(&upstream, stand.address, "a", LIMIT).await;
    assert_eq!((status(&next), stand.connections()), (Some(200), 2), "{:?}", stand.log());
}

/// Guards against forwards that count as not run although the peer may have passed them on.
#[rstest]
#[case::closed(vec![Read, Close], BROKEN)]
#[case::late(vec![Read], LATE)]
#[case::no_message(vec![Read, whole(200, "", "text")], BAD)]
#[case::error(vec![Read, whole(400, "", "")], BAD)]
#[case::other_listener(vec![Read, whole(503, "x-not-run: 1\r\n", "")], BAD)]
#[case::refused(vec![Read, whole(503, "x-outcome: refused\r\n", "")], FULL)]
#[tokio::test]
async fn a_forward_proves_no_more_than_it_shows(
    #[case] script: Vec<Act>,
    #[case] expected: Evidence,
) {
    let stand = Stand::start(vec![script]).await;
    let peer = Peer::new(Arc::default(), Arc::default(), BootClock);
    let (vm, request) = (name::Vm::try_from("e2").unwrap(), order("a", Duration::from_millis(150)));
    let forwarded = timeout(LIMIT, peer.forward(&vm, stand.address, attempt(&request))).await;
    let forwarded = forwarded.unwrap();
    assert_eq!((forwarded.evidence, forwarded.free), (expected, None));
}

/// Guards against a refusal that is taken for an answer, or an answer for a refusal; whole answers
/// leave their connection usable.
#[rstest]
#[case::shed(503, "x-not-run: 1\r\n", Some(SHED))]
#[case::unavailable(503, "", None)]
#[case::ran_with_the_field(200, "x-not-run: 1\r\n", None)]
#[case::error(500, "", None)]
#[tokio::test]
async fn refusals_need_status_and_field(
    #[case] code: u16,
    #[case] fields: &str,
    #[case] expected: Option<Evidence>,
) {
    let fields = format!("x-request-id: a\r\nx-attempt: 2\r\n{fields}{REPORT}");
    let answer = || whole(code, &fields, "body");
    let stand = Stand::start(vec![vec![Read, answer(), Read, answer()]]).await;
    let upstream = upstream();
    for _ in 0..2 {
        let reply = send(&upstream, stand.address, "a", LIMIT).await;
        let report = reply.report.unwrap();
        assert_eq!((report.boot, report.in_flight, report.slots, report.warm), (7, 2, 3, true));
        match &expected {
            Some(evidence) => assert_eq!(reply.evidence, *evidence),
            None => assert_eq!(status(&reply), Some(code)),
        }
    }
    assert_eq!(stand.connections(), 1);
}

/// Guards against a refused connection that counts as a request that may have run.
#[tokio::test]
async fn a_refused_connection_proves_that_nothing_was_sent() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(send(&upstream(), address, "a", LIMIT).await.evidence, UNSENT);
}

/// Guards against a false proof when a new connection is closed at once: nothing was read, but the
/// request may have left.
#[tokio::test]
async fn a_connection_closed_at_once_proves_nothing_more() {
    let stand = Stand::start(vec![vec![Close]]).await;
    let evidence = send(&upstream(), stand.address, "a", LIMIT).await.evidence;
    assert!([BROKEN, UNSENT].contains(&evidence), "{evidence:?}");
}

/// Guards against a timeout while connecting that counts as a request that may have run.
#[tokio::test]
async fn a_timeout_before_the_send_proves_that_nothing_was_sent() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    // Connections that nobody accepts, until the listener takes no more.
    let mut taken = Vec::new();
    while let Ok(stream) = timeout(SETTLE, TcpStream::connect(address)).await {
        taken.push(stream.unwrap());
        assert!(taken.len() < 16, "the listener takes any number of connections");
    }
    let reply = send(&upstream(), address, "a", Duration::from_millis(100)).await;
    assert_eq!(reply.evidence, UNSENT);
}

/// Guards against an error for a request that meets a connection that its server has closed.
#[tokio::test]
async fn a_closed_idle_connection_is_replaced() {
    let once = vec![Read, answer("a", "2", "", ""), Close];
    let stand = Stand::start(vec![once]).await;
    let upstream = upstream();
    for _ in 0..3 {
        assert_eq!(status(&send(&upstream, stand.address, "a", LIMIT).await), Some(200));
        sleep(SETTLE).await;
    }
    assert_eq!(stand.connections(), 3);
}

/// Guards against a cancelled exchange whose connection stays open or is used again.
#[tokio::test]
async fn a_cancelled_exchange_closes_its_connection() {
    let stand = Stand::start(vec![vec![Read], vec![Read, answer("b", "2", "", "")]]).await;
    let upstream = Arc::new(upstream());
    let (sender, address) = (upstream.clone(), stand.address);
    let task = tokio::spawn(async move { send(&sender, address, "a", LIMIT).await });
    stand.wait("0 read").await;
    task.abort();
    stand.wait("0 closed by the other end").await;
    assert_eq!(status(&send(&upstream, address, "b", LIMIT).await), Some(200));
    assert_eq!(stand.connections(), 2);
}

/// Guards against a second answer on a connection that is taken for the answer to the next request.
#[tokio::test]
async fn an_answer_without_a_request_is_not_used() {
    let twice = vec![Read, answer("a", "2", "", "1"), answer("b", "2", "", "forged"), Read];
    let stand = Stand::start(vec![twice, vec![Read, answer("b", "2", "", "real")]]).await;
    let upstream = upstream();
    assert_eq!(status(&send(&upstream, stand.address, "a", LIMIT).await), Some(200));
    sleep(SETTLE).await;
    let reply = send(&upstream, stand.address, "b", LIMIT).await;
    let Evidence::Ran(answer) = reply.evidence else { panic!("{reply:?}") };
    assert_eq!(answer.body, "real");
}

/// Guards against requests that reach the server changed: id, attempt, remaining time, fields of a
/// single connection.
#[tokio::test]
async fn a_server_sees_the_attempt() {
    let stand =
        Stand::start(vec![vec![Read, answer("a", "2", "te: x\r\nx-kind: k\r\n", "")]]).await;
    let reply = send(&upstream(), stand.address, "a", LIMIT).await;
    let read = stand.wait("0 read").await;
    assert!(read.starts_with("0 read post /order?n=1 http/1.1\r\n"), "{read}");
    for field in ["x-request-id: a", "x-attempt: 2", "x-kind: v", "content-length: 4"] {
        assert!(read.contains(&format!("\r\n{field}\r\n")), "{field} in {read}");
    }
    let left = read.lines().find_map(|line| line.strip_prefix("x-request-timeout-ms: "));
    let left: u64 = left.unwrap().parse().unwrap();
    assert!((2_500..=3_000).contains(&left), "{left}");
    assert!(!read.contains("\r\nte:") && read.ends_with("\r\n\r\nfour"), "{read}");
    let Evidence::Ran(answer) = reply.evidence else { panic!("{reply:?}") };
    let names: Vec<&str> = answer.headers.iter().map(|header| &*header.name).collect();
    assert_eq!(names, ["x-kind"]);
}

/// Guards against an answer beyond the limit that fills the memory or passes as whole.
#[rstest]
#[case::declared(whole(200, "", "12345678901"), false)]
#[case::chunked(cut("transfer-encoding: chunked\r\n", "b\r\n12345678901\r\n0\r\n\r\n"), false)]
#[case::at_the_limit(whole(200, "", "1234567890"), true)]
#[tokio::test]
async fn oversized_answers(#[case] act: Act, #[case] whole: bool) {
    let stand = Stand::start(vec![vec![Read, act]]).await;
    let client = Client::default();
    let request = Request::get("/").body(Full::default()).unwrap();
    let result = client.exchange(stand.address, request, LIMIT, 10, |_| true).await;
    match result {
        Ok(response) => assert!(whole && response.body().len() == 10),
        Err(err) => assert!(!whole && err == Error::Large(10), "{err}"),
    }
    if !whole {
        stand.wait("0 closed by the other end").await;
    }
}

/// Guards against connections to a server that are kept beyond the entry's share of what the server
/// accepts.
#[tokio::test]
async fn no_more_connections_are_kept_than_told() {
    let twice = vec![Read, answer("a", "2", "", ""), Read, answer("a", "2", "", "")];
    let stand = Stand::start(vec![twice]).await;
    let client = Arc::new(Client::default());
    client.set_max_idle(1);
    let upstream = Upstream::new(client, BootClock);
    for _ in 0..2 {
        let sends = [(); 3].map(|()| send(&upstream, stand.address, "a", LIMIT));
        let [first, second, third] = sends;
        tokio::join!(first, second, third);
        sleep(SETTLE).await;
    }
    // One of the first three is used again.
    assert_eq!(stand.connections(), 5);
    let closed = stand.log().iter().filter(|entry| entry.contains("closed")).count();
    assert_eq!(closed, 4, "{:?}", stand.log());
}
