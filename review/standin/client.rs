//! A stand-in of the clients: one request on a connection of its own.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http::Connection;

/// How an attempt of a client ended.
pub struct Answer {
    pub status: u16,
    pub sealed: bool,
    pub body: Vec<u8>,
    /// Whether the answer came to its end by its own framing.
    pub is_whole: bool,
}

/// Sends one request and reads its answer; `None` if no head of an answer came.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline: Duration,
    body: &[u8],
) -> Option<Answer> {
    let stream = TcpStream::connect(address).ok()?;
    let _ = stream.set_read_timeout(Some(deadline + Duration::from_secs(1)));
    let _ = stream.set_write_timeout(Some(deadline + Duration::from_secs(1)));
    let mut connection = Connection::new(stream);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
        deadline.as_millis(),
        body.len()
    );
    connection.stream.write_all(head.as_bytes()).ok()?;
    // An answer may come before the whole body is sent.
    let _ = connection.stream.write_all(body);
    let head = connection.read_head().ok()??;
    let sealed = head.field("x-response-seal").is_some();
    let (body, is_whole) = match head.content_length() {
        Some(len) => match connection.read_body(len) {
            Ok(body) => (body, true),
            Err(_) => (Vec::new(), false),
        },
        None => match connection.read_to_end() {
            Ok(body) => (body, true),
            Err(_) => (Vec::new(), false),
        },
    };
    Some(Answer { status: head.status(), sealed, body, is_whole })
}
