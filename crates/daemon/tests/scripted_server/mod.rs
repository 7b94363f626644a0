//! A test double of a server that follows a script on each connection, and a caller that sends raw
//! bytes.
#![allow(dead_code, reason = "each test file uses a part of this module")]
#![allow(clippy::unwrap_used, reason = "only tests use this module")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout of each wait on loopback.
pub const TIMEOUT: Duration = Duration::from_secs(3);

/// A step of the script of a connection. After the last step, the server waits until the other end
/// closes the connection.
#[derive(Debug, Clone)]
pub enum Step {
    /// Reads one request.
    Read,
    /// Writes bytes.
    Write(String),
    /// Waits.
    Pause(Duration),
    /// Closes the connection.
    Close,
}

/// Writes a server's answer with status 200 that echoes an id and the number of an attempt.
pub fn answer(id: &str, attempt: &str, fields: &str, body: &str) -> Step {
    response(200, &format!("x-request-id: {id}\r\nx-attempt: {attempt}\r\n{fields}"), body)
}

/// Writes a response with the given header fields and a `content-length`.
pub fn response(status: u16, fields: &str, body: &str) -> Step {
    let len = body.len();
    Step::Write(format!("HTTP/1.1 {status} X\r\n{fields}content-length: {len}\r\n\r\n{body}"))
}

/// A server on loopback.
#[derive(Debug)]
pub struct ScriptedServer {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<String>>>,
}

impl ScriptedServer {
    /// Starts a server that follows one script per connection, and the last script on all further
    /// connections.
    pub async fn start(scripts: Vec<Vec<Step>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let events = Arc::new(Mutex::new(Vec::new()));
        let task_events = events.clone();
        tokio::spawn(async move {
            for number in 0.. {
                let (stream, _) = listener.accept().await.unwrap();
                let script = scripts[number.min(scripts.len() - 1)].clone();
                tokio::spawn(run_script(number, stream, script, task_events.clone()));
            }
        });
        Self { address, events }
    }

    /// The events so far: `N opened`, `N read ...`, `N closed by the other end`, where N is the
    /// number of the connection.
    pub fn events(&self) -> Vec<String> {
        self.events.lock().unwrap().clone()
    }

    /// Waits for an event that begins with `prefix`.
    pub async fn wait_for(&self, prefix: &str) -> String {
        let found = || self.events().into_iter().find(|event| event.starts_with(prefix));
        let search = async {
            loop {
                if let Some(event) = found() {
                    return event;
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        timeout(TIMEOUT, search)
            .await
            .unwrap_or_else(|_| panic!("no {prefix:?} in {:?}", self.events()))
    }

    /// Number of connections opened so far.
    pub fn connections(&self) -> usize {
        self.events().iter().filter(|event| event.ends_with("opened")).count()
    }
}

/// Runs the script of connection `number`.
async fn run_script(
    number: usize,
    mut stream: TcpStream,
    script: Vec<Step>,
    events: Arc<Mutex<Vec<String>>>,
) {
    let record = |text: String| events.lock().unwrap().push(format!("{number} {text}"));
    record("opened".to_owned());
    for step in script {
        match step {
            Step::Read => match read_message(&mut stream).await {
                Some(text) => record(format!("read {text}")),
                None => return record("closed by the other end".to_owned()),
            },
            Step::Write(text) => drop(stream.write_all(text.as_bytes()).await),
            Step::Pause(time) => tokio::time::sleep(time).await,
            Step::Close => return,
        }
    }
    let _ = stream.read_to_end(&mut Vec::new()).await;
    record("closed by the other end".to_owned());
}

/// Reads one request or response with its body. `None` if the connection ends first.
pub async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    loop {
        let byte = stream.read_u8().await.ok()?;
        head.push(byte);
        if head.ends_with(b"\r\n\r\n") {
            break;
        }
    }
    let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
    let len = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; len.map_or(0, |len| len.parse().unwrap())];
    stream.read_exact(&mut body).await.ok()?;
    Some(head + &String::from_utf8_lossy(&body))
}

/// Sends `bytes` on a new connection and returns the response.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    timeout(TIMEOUT, read_message(&mut stream)).await.unwrap().unwrap()
}
