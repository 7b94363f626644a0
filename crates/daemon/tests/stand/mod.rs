//! A server that answers connection by connection as it is told, and a caller that sends bytes.
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

/// Longest wait for anything on loopback.
pub const LIMIT: Duration = Duration::from_secs(3);

/// What the server does on a connection, step by step. After the last step it waits until the other
/// end closes the connection.
#[derive(Debug, Clone)]
pub enum Act {
    /// Reads one request.
    Read,
    /// Writes bytes.
    Write(String),
    /// Closes the connection.
    Close,
}

/// An answer to a request with id `id` and attempt `attempt`.
pub fn answer(id: &str, attempt: &str, more: &str, body: &str) -> Act {
    whole(200, &format!("x-request-id: {id}\r\nx-attempt: {attempt}\r\n{more}"), body)
}

/// An answer with the given header fields.
pub fn whole(status: u16, fields: &str, body: &str) -> Act {
    let len = body.len();
    Act::Write(format!("HTTP/1.1 {status} X\r\n{fields}content-length: {len}\r\n\r\n{body}"))
}

/// Serves connections on loopback.
#[derive(Debug)]
pub struct Stand {
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
}

impl Stand {
    /// Starts a server that follows one script per connection, the last one for all further ones.
    pub async fn start(scripts: Vec<Vec<Act>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let log = Arc::new(Mutex::new(Vec::new()));
        let shared = log.clone();
        tokio::spawn(async move {
            for number in 0.. {
                let (stream, _) = listener.accept().await.unwrap();
                let script = scripts[number.min(scripts.len() - 1)].clone();
                tokio::spawn(follow(number, stream, script, shared.clone()));
            }
        });
        Self { address, log }
    }

    /// What happened: `N opened`, `N read ...`, `N closed by the other end`.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// Waits for an entry that begins with `text`.
    pub async fn wait(&self, text: &str) -> String {
        let found = || self.log().into_iter().find(|entry| entry.starts_with(text));
        let search = async {
            loop {
                if let Some(entry) = found() {
                    return entry;
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        timeout(LIMIT, search).await.unwrap_or_else(|_| panic!("no {text:?} in {:?}", self.log()))
    }

    pub fn connections(&self) -> usize {
        self.log().iter().filter(|entry| entry.ends_with("opened")).count()
    }
}

async fn follow(
    number: usize,
    mut stream: TcpStream,
    script: Vec<Act>,
    log: Arc<Mutex<Vec<String>>>,
) {
    let note = |text: String| log.lock().unwrap().push(format!("{number} {text}"));
    note("opened".to_owned());
    for act in script {
        match act {
            Act::Read => match message(&mut stream).await {
                Some(text) => note(format!("read {text}")),
                None => return note("closed by the other end".to_owned()),
            },
            Act::Write(text) => drop(stream.write_all(text.as_bytes()).await),
            Act::Close => return,
        }
    }
    let _ = stream.read_to_end(&mut Vec::new()).await;
    note("closed by the other end".to_owned());
}

/// One request or response with its body. `None` if the connection ends first.
pub async fn message(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    loop {
        let byte = stream.read_u8().await.ok()?;
        text.push(byte);
        if text.ends_with(b"\r\n\r\n") {
            break;
        }
    }
    let head = String::from_utf8(text).unwrap().to_ascii_lowercase();
    let len = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; len.map_or(0, |len| len.parse().unwrap())];
    stream.read_exact(&mut body).await.ok()?;
    Some(head + &String::from_utf8_lossy(&body))
}

/// Sends `bytes` on a new connection and returns the response.
pub async fn send(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    timeout(LIMIT, message(&mut stream)).await.unwrap().unwrap()
}
