//! A stand-in of the servers: runs requests, answers health checks, and shows one kind of trouble.

use std::collections::HashMap;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http::Connection;
use crate::http::Head;

/// Lines of the answer to a short request and to a long one.
const SHORT_LINES: usize = 20;
pub const LONG_LINES: usize = 50_000;

/// Bytes of an answer that are sent at once.
const PIECE_BYTES: usize = 128 << 10;

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(20);

/// How a server answers requests.
#[derive(Clone, Copy, PartialEq)]
pub enum Manner {
    Sound,
    /// Two of five requests run, fail at the end of their work, and are answered 503 without
    /// `X-Not-Executed`.
    FailsLate,
    /// Answers have no length and end with their connections. They begin before the server has read a
    /// long request.
    Streams,
}

#[derive(Default)]
struct Shared {
    /// Ids of the requests that were run, with how often.
    ran: Mutex<HashMap<String, u32>>,
    requests: AtomicU64,
    /// How often connections were reset.
    resets: AtomicU64,
    /// Connections that were open then.
    asked: AtomicU64,
}

/// A running server; clones share its state.
#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    manner: Manner,
    shared: Arc<Shared>,
}

/// The whole body of the answer to the request `id`.
pub fn whole_body(id: &str, lines: usize) -> Vec<u8> {
    format!("{id}: a line of the answer\n").repeat(lines).into_bytes()
}

impl Server {
    pub fn start(name: &str, manner: Manner) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a server");
        let address = listener.local_addr().expect("address of a server");
        let server = Self { name: name.to_owned(), address, manner, shared: Arc::default() };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// The item of this server in the store.
    pub fn item(&self, service: &str) -> String {
        format!(
            r#"{{"service":"{service}","addr":"{}","zone":"za","version":"1","slots":3,"state":"ready","warmupLeft":"0ms","seq":1,"born":1764900000000}}"#,
            self.address
        )
    }

    /// How often the request `id` was run here.
    pub fn runs(&self, id: &str) -> u32 {
        self.shared.ran.lock().expect("ran").get(id).copied().unwrap_or(0)
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.read_head() {
            let goes_on = match head.request_line().1 {
                "/health" => self.answer_health(&mut connection),
                _ => self.answer(&mut connection, &head),
            };
            if !goes_on {
                return;
            }
        }
    }

    fn answer_health(&self, connection: &mut Connection) -> bool {
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nX-Server-Load: 0,0,3,100\r\nContent-Length: 0\r\n\r\n",
            self.name
        );
        connection.stream.write_all(answer.as_bytes()).is_ok()
    }

    /// Answers a request; false if the connection ends.
    fn answer(&self, connection: &mut Connection, head: &Head) -> bool {
        let id = head.field("x-attempt-id").unwrap_or("").to_owned();
        let len = head.content_length().unwrap_or(0);
        if head.field("x-target-instance").is_some_and(|name| name != self.name) {
            let _ = connection.read_body(len);
            let text = format!(
                "HTTP/1.1 421 X\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return connection.stream.write_all(text.as_bytes()).is_ok();
        }
        let number = self.shared.requests.fetch_add(1, Ordering::SeqCst);
        if self.manner == Manner::Streams {
            return self.stream(connection, &id, len);
        }
        if connection.read_body(len).is_err() {
            return false;
        }
        *self.shared.ran.lock().expect("ran").entry(id.clone()).or_default() += 1;
        thread::sleep(WORK);
        let body = whole_body(&id, SHORT_LINES);
        match self.manner {
            Manner::FailsLate if number % 5 < 2 => {
                let text = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: {id}\r\nContent-Length: 6\r\n\r\nfailed"
                );
                connection.stream.write_all(text.as_bytes()).is_ok()
            }
            _ => {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: {id}\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                connection.stream.write_all(text.as_bytes()).is_ok()
                    && connection.stream.write_all(&body).is_ok()
            }
        }
    }

    /// Sends the first half of the answer in pieces, reads the request and sends the rest. Closing a
    /// connection with unread bytes resets it.
    fn stream(&self, connection: &mut Connection, id: &str, len: usize) -> bool {
        *self.shared.ran.lock().expect("ran").entry(id.to_owned()).or_default() += 1;
        let mut seen = self.shared.resets.load(Ordering::SeqCst);
        let body = whole_body(id, LONG_LINES);
        let (first, rest) = body.split_at(body.len() / 2);
        let _ = connection.stream.write_all(unframed_head(id).as_bytes());
        for piece in first.chunks(PIECE_BYTES) {
            let _ = connection.stream.write_all(piece);
            if self.is_reset(&mut seen) {
                return false;
            }
            thread::sleep(WORK);
        }
        if connection.read_body(len).is_ok() {
            let _ = connection.stream.write_all(rest);
            let _ = connection.stream.shutdown(Shutdown::Write);
        }
        false
    }

    /// Resets 11 of 20 of the connections on which an answer is under way.
    pub fn reset_connections(&self) {
        self.shared.resets.fetch_add(1, Ordering::SeqCst);
    }

    /// Whether this connection is one of those that are reset since `seen`.
    fn is_reset(&self, seen: &mut u64) -> bool {
        let resets = self.shared.resets.load(Ordering::SeqCst);
        if resets == *seen {
            return false;
        }
        *seen = resets;
        self.shared.asked.fetch_add(1, Ordering::SeqCst) * 11 % 20 < 11
    }
}

fn unframed_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: {id}\r\nConnection: close\r\n\r\n"
    )
}
