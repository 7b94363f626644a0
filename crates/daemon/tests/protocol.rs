//! Checks the examples of the protocol page (docs/protocol.md) against a running entry and against
//! the adapter for servers.

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
use jackdawpin_daemon::metrics::RequestEnd;
use jackdawpin_daemon::upstream::Upstream;
use jackdawpin_testkit::fleet::Fleet;
use jackdawpin_testkit::fleet::Layout;
use jackdawpin_testkit::fleet::Service;

/// Timeout of each wait.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Header fields whose values differ from run to run.
const VARYING_FIELDS: [&str; 4] = ["date", "host", "content-length", "x-request-timeout-ms"];

/// The text of the protocol page.
fn page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/protocol.md");
    fs::read_to_string(path).unwrap()
}

/// The messages of an example: the `http` blocks between its comment `<!-- example: NAME -->` and
/// the next HTML comment.
fn example(name: &str) -> Vec<String> {
    let page = page();
    let (_, rest) = page.split_once(&format!("<!-- example: {name} -->\n")).unwrap();
    let rest = rest.split("<!--").next().unwrap();
    let blocks = rest.split("```http\n").skip(1).map(|block| block.split("```").next().unwrap());
    blocks.map(http_message).collect()
}

/// The HTTP message that a block shows. A head without a body ends with an empty line.
fn http_message(block: &str) -> String {
    let (head, body) = block.split_once("\n\n").unwrap_or((block.trim_end(), ""));
    format!("{}\r\n\r\n{}", head.replace('\n', "\r\n"), body.trim_end())
}

/// A message in a form that can be compared: the first line, the header fields that do not vary, in
/// a fixed order, and the body.
#[derive(Debug, PartialEq, Eq)]
struct Message {
    first_line: String,
    fields: BTreeSet<String>,
    body: String,
}

impl Message {
    fn parse(message: &str) -> Self {
        let (head, body) = message.split_once("\r\n\r\n").unwrap();
        let mut lines = head.split("\r\n").map(str::to_owned);
        let varies = |line: &String| VARYING_FIELDS.contains(&line.split(':').next().unwrap());
        let first_line = lines.next().unwrap();
        let fields = lines.filter(|line| !varies(line)).collect();
        Self { first_line, fields, body: body.to_owned() }
    }
}

/// Reads a message to the end of the body that it declares.
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

/// Sends a request on a new connection and returns the response.
async fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    timeout(TIMEOUT, receive(&mut stream)).await.unwrap()
}

/// The body of an answer, or that of the page where the fleet's body necessarily differs: a list of
/// addresses with weights, and the answer of the test server.
fn comparable_body(answer: &Message, page: &Message) -> String {
    let keys = ["\"address\":\"", "\"weight\":"];
    let is_list = keys.iter().all(|key| answer.body.contains(key));
    let answered = answer.fields.contains("x-outcome: answered");
    if is_list || answered { page.body.clone() } else { answer.body.clone() }
}

/// Guards against examples for callers that an entry does not accept or answers differently.
#[tokio::test]
async fn examples_for_callers() {
    let services =
        vec![Service { name: "alerts".to_owned(), server_count: 1, server_flags: Vec::new() }];
    let layout = Layout { domain_count: 1, entry_count: 1, services, ..Layout::default() };
    let mut fleet = Fleet::start(layout).await.unwrap();
    fleet.start_entries(TIMEOUT).await.unwrap();
    let entry = fleet.entry_addresses()[0];
    // In its first 2.5 s, longer than the timeout of the example's request, the entry grants no
    // lease of the cold server. Wait until a call is answered.
    let warm_up_call = "GET /v1/call/alerts/warm HTTP/1.1\r\nhost: entry\r\n\r\n";
    let until_answered =
        async { while !exchange(entry, warm_up_call).await.contains("x-outcome: answered") {} };
    timeout(TIMEOUT, until_answered).await.unwrap();
    for name in ["addresses", "call", "unknown_service", "invalid_request"] {
        let example = example(name);
        let [request, expected] = &example[..2] else { panic!("{name} is no pair") };
        let expected = Message::parse(expected);
        let mut answer = Message::parse(&exchange(entry, request).await);
        if name == "addresses" {
            let list: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
            assert_eq!(list["addresses"][0]["address"], entry.to_string());
            assert_eq!(list["ttl_ms"], 2_000);
        }
        answer.body = comparable_body(&answer, &expected);
        assert_eq!(answer, expected, "{name}");
    }
}

/// The request that the examples for servers show.
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

/// Answers one request and returns it.
async fn answer_once(listener: TcpListener, answer: String) -> String {
    let (mut stream, _) = listener.accept().await.unwrap();
    let request = receive(&mut stream).await;
    stream.write_all(answer.as_bytes()).await.unwrap();
    request
}

/// The conclusion that the page states for the answer of an example.
fn conclusion(evidence: &Evidence) -> &'static str {
    match evidence {
        Evidence::Ran(answer) if &answer.body[..] == b"{\"result\":\"done\"}" => "answered",
        Evidence::NotRun(NotRun::Shed) => "not run",
        Evidence::MayHaveRun(UnknownReason::BadAnswer) => "bad_answer",
        _ => "another one",
    }
}

/// Guards against an example of a request that differs from what servers receive, and against
/// examples of answers that entries interpret differently.
#[rstest]
#[case("answer", "answered")]
#[case("shed", "not run")]
#[case("wrong echo", "bad_answer")]
#[tokio::test]
async fn examples_for_servers(#[case] name: &str, #[case] expected: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let upstream = Upstream::new(Arc::new(Client::default()), clock::BootClock);
    let request = request();
    let (deadline, answer_limit) = (request.deadline, 1 << 20);
    let attempt = Attempt { request: &request, number: 1, deadline, answer_limit };
    let server = answer_once(listener, example(name)[0].clone());
    let (received, reply) =
        timeout(TIMEOUT, async { tokio::join!(server, upstream.send(address, attempt)) })
            .await
            .unwrap();
    assert_eq!(Message::parse(&received), Message::parse(&example("request")[0]));
    assert_eq!(conclusion(&reply.evidence), expected, "{reply:?}");
    assert_eq!(reply.report.is_some(), name == "answer");
}

/// Guards against an example of a probe that differs from what servers receive, and against an
/// example of a load report that entries cannot read.
#[tokio::test]
async fn examples_of_probes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let upstream = Upstream::new(Arc::new(Client::default()), clock::BootClock);
    let server = answer_once(listener, example("report")[0].clone());
    let (received, report) =
        timeout(TIMEOUT, async { tokio::join!(server, upstream.probe(address, TIMEOUT)) })
            .await
            .unwrap();
    assert_eq!(Message::parse(&received), Message::parse(&example("probe")[0]));
    let report = report.unwrap();
    assert_eq!(
        (report.slots, report.warm, report.draining, report.boot),
        (3, true, false, 1_890_344_717)
    );
}

/// Guards against a reason that the page omits, and against one on the page that does not exist.
#[test]
fn reasons_are_documented() {
    let page = page();
    let rows = |heading: &str| -> BTreeSet<String> {
        let (_, rest) = page.split_once(&format!("| Reason of `{heading}` |")).unwrap();
        let rows = rest.lines().skip(2).take_while(|line| line.starts_with('|'));
        rows.map(|row| row.split('`').nth(1).unwrap().to_owned()).collect()
    };
    let mut refusal_reasons = BTreeSet::from(["too_many_connections".to_owned()]);
    let mut unknown_reasons = BTreeSet::new();
    for end in RequestEnd::ALL {
        match end {
            RequestEnd::Refused(reason) => refusal_reasons.insert(reason.to_string()),
            RequestEnd::Unknown(reason) => unknown_reasons.insert(reason.to_string()),
            RequestEnd::Answered | RequestEnd::Abandoned => false,
        };
    }
    assert_eq!((rows("refused"), rows("unknown")), (refusal_reasons, unknown_reasons));
}
