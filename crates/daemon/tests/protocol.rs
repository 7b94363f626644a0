//! The examples of the protocol page, against a running entry and the adapter for servers.

// clippy.toml allows it in test functions only, not in their helpers.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use jackdawpin_core::holder::port::Upstream as _;
use jackdawpin_core::outcome::Evidence;
use jackdawpin_core::outcome::NotRun;
use jackdawpin_core::outcome::UnknownReason;
use jackdawpin_core::port::Clock;
use jackdawpin_core::request::Attempt;
use jackdawpin_core::request::Content;
use jackdawpin_core::request::Header;
use jackdawpin_core::request::Request;
use jackdawpin_daemon::clock;
use jackdawpin_daemon::exchange::Client;
use jackdawpin_daemon::metrics::End;
use jackdawpin_daemon::upstream::Upstream;
use jackdawpin_testkit::fleet::Fleet;
use jackdawpin_testkit::fleet::Layout;
use jackdawpin_testkit::fleet::Service;

const LIMIT: Duration = Duration::from_secs(10);

/// Fields whose values vary from run to run.
const VARYING: [&str; 4] = ["date", "host", "content-length", "x-request-timeout-ms"];

fn page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/protocol.md");
    fs::read_to_string(path).unwrap()
}

/// The messages of an example: the blocks that follow its mark, up to the next mark or heading.
fn example(name: &str) -> Vec<String> {
    let page = page();
    let (_, rest) = page.split_once(&format!("<!-- example: {name} -->\n")).unwrap();
    let rest = rest.split("<!--").next().unwrap();
    let blocks = rest.split("```http\n").skip(1).map(|block| block.split("```").next().unwrap());
    blocks.map(message).collect()
}

/// The bytes that a block stands for: a head without a body ends with an empty line.
fn message(block: &str) -> String {
    let (head, body) = block.split_once("\n\n").unwrap_or((block.trim_end(), ""));
    format!("{}\r\n\r\n{}", head.replace('\n', "\r\n"), body.trim_end())
}

/// A message that can be compared: the first line, the fields in a fixed order, and the body.
#[derive(Debug, PartialEq, Eq)]
struct Parsed {
    first: String,
    fields: BTreeSet<String>,
    body: String,
}

impl Parsed {
    fn of(message: &str) -> Self {
        let (head, body) = message.split_once("\r\n\r\n").unwrap();
        let mut lines = head.split("\r\n").map(str::to_owned);
        let varies = |line: &String| VARYING.contains(&line.split(':').next().unwrap());
        let first = lines.next().unwrap();
        let fields = lines.filter(|line| !varies(line)).collect();
        Self { first, fields, body: body.to_owned() }
    }
}

/// Reads a message up to the end of the body that it declares.
async fn receive(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8(bytes.clone()).unwrap();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            if body.len() >= length.map_or(0, |length| length.parse().unwrap()) {
                return text;
            }
        }
        assert!(stream.read_buf(&mut bytes).await.unwrap() > 0, "cut: {text}");
    }
}

async fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    timeout(LIMIT, receive(&mut stream)).await.unwrap()
}

/// Replaces what comes from the fleet by what the page has: an address and its weight, and the body
/// of the test server.
fn as_on_page(answer: &Parsed, page: &Parsed) -> String {
    let keys = ["\"address\":\"", "\"weight\":"];
    let is_list = keys.iter().all(|key| answer.body.contains(key));
    let answered = answer.fields.contains("x-outcome: answered");
    if is_list || answered { page.body.clone() } else { answer.body.clone() }
}

/// Guards against examples for callers that an entry does not accept or answers in another way.
#[tokio::test]
async fn callers() {
    let services = vec![Service { name: "alerts".to_owned(), servers: 1, flags: Vec::new() }];
    let layout = Layout { domains: 1, entries: 1, services, ..Layout::default() };
    let mut fleet = Fleet::start(layout).await.unwrap();
    fleet.start_entries(LIMIT).await.unwrap();
    let entry = fleet.entries()[0];
    // The entry grants no lease of the cold server in its first 2.5 s, longer than the time for the
    // request of the example.
    let ask = "GET /v1/call/alerts/warm HTTP/1.1\r\nhost: entry\r\n\r\n";
    let serves = async { while !exchange(entry, ask).await.contains("x-outcome: answered") {} };
    timeout(LIMIT, serves).await.unwrap();
    for name in ["addresses", "call", "unknown_service", "invalid_request"] {
        let example = example(name);
        let [request, expected] = &example[..2] else { panic!("{name} is no pair") };
        let expected = Parsed::of(expected);
        let mut answer = Parsed::of(&exchange(entry, request).await);
        if name == "addresses" {
            let list: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
            assert_eq!(list["addresses"][0]["address"], entry.to_string());
            assert_eq!(list["ttl_ms"], 2_000);
        }
        answer.body = as_on_page(&answer, &expected);
        assert_eq!(answer, expected, "{name}");
    }
}

/// The request of the examples for servers.
fn request() -> Request {
    let field = |name: &str, value: &'static str| Header {
        name: name.into(),
        value: Bytes::from_static(value.as_bytes()),
    };
    Request {
        id: "ack-4711".try_into().unwrap(),
        service: "alerts".try_into().unwrap(),
        received: clock::BootClock.now(),
        deadline: clock::BootClock.now() + Duration::from_secs(1),
        idempotent: false,
        content: Content {
            method: "POST".into(),
            path: "/acknowledge".into(),
            headers: vec![field("content-type", "application/json")],
            body: Bytes::from_static(b"{\"alert\": 7}"),
        },
    }
}

/// A server that gives one answer, and the request that it got.
async fn serve(listener: TcpListener, answer: String) -> String {
    let (mut stream, _) = listener.accept().await.unwrap();
    let request = receive(&mut stream).await;
    stream.write_all(answer.as_bytes()).await.unwrap();
    request
}

/// What the answer of an example proves, in the terms of the page.
fn verdict(evidence: &Evidence) -> &'static str {
    match evidence {
        Evidence::Ran(answer) if &answer.body[..] == b"{\"result\":\"done\"}" => "answered",
        Evidence::NotRun(NotRun::Shed) => "not run",
        Evidence::MayHaveRun(UnknownReason::BadAnswer) => "bad_answer",
        _ => "another one",
    }
}

/// Guards against an example of a request that differs from what servers get, and of answers that
/// entries understand in another way.
#[rstest]
#[case("answer", "answered")]
#[case("shed", "not run")]
#[case("wrong echo", "bad_answer")]
#[tokio::test]
async fn servers(#[case] name: &str, #[case] expected: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let upstream = Upstream::new(Arc::new(Client::default()), clock::BootClock);
    let request = request();
    let (deadline, answer_limit) = (request.deadline, 1 << 20);
    let attempt = Attempt { request: &request, number: 1, deadline, answer_limit };
    let server = serve(listener, example(name)[0].clone());
    let (received, reply) =
        timeout(LIMIT, async { tokio::join!(server, upstream.send(address, attempt)) })
            .await
            .unwrap();
    assert_eq!(Parsed::of(&received), Parsed::of(&example("request")[0]));
    assert_eq!(verdict(&reply.evidence), expected, "{reply:?}");
    assert_eq!(reply.report.is_some(), name == "answer");
}

/// Guards against an example of a probe that differs from what servers get, and of a report that
/// entries do not understand.
#[tokio::test]
async fn probes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let upstream = Upstream::new(Arc::new(Client::default()), clock::BootClock);
    let server = serve(listener, example("report")[0].clone());
    let (received, report) =
        timeout(LIMIT, async { tokio::join!(server, upstream.probe(address, LIMIT)) })
            .await
            .unwrap();
    assert_eq!(Parsed::of(&received), Parsed::of(&example("probe")[0]));
    let report = report.unwrap();
    assert_eq!(
        (report.slots, report.warm, report.draining, report.boot),
        (3, true, false, 1_890_344_717)
    );
}

/// Guards against a reason that callers are not told about, and against one that does not exist.
#[test]
fn reasons() {
    let page = page();
    let rows = |heading: &str| -> BTreeSet<String> {
        let (_, rest) = page.split_once(&format!("| Reason of `{heading}` |")).unwrap();
        let rows = rest.lines().skip(2).take_while(|line| line.starts_with('|'));
        rows.map(|row| row.split('`').nth(1).unwrap().to_owned()).collect()
    };
    let mut refusals = BTreeSet::from(["too_many_connections".to_owned()]);
    let mut doubts = BTreeSet::new();
    for end in End::ALL {
        match end {
            End::Refused(reason) => refusals.insert(reason.to_string()),
            End::Unknown(reason) => doubts.insert(reason.to_string()),
            End::Answered | End::GivenUp => false,
        };
    }
    assert_eq!((rows("refused"), rows("unknown")), (refusals, doubts));
}
