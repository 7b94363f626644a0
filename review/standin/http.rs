//! A minimal HTTP/1.1 reader over blocking connections.

use std::io;
use std::io::Read;
use std::net::TcpStream;

/// The start line and the fields of a message. Field names are in lower case.
pub struct Head {
    pub start: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn content_length(&self) -> Option<usize> {
        self.field("content-length")?.trim().parse().ok()
    }

    /// Method and target of a request.
    pub fn request_line(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads the next head; `None` at a clean end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or("").to_owned();
                let fields = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { start, fields }));
            }
            if self.fill()? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads exactly `len` bytes of a body.
    pub fn read_body(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < len {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..len).collect())
    }

    /// Reads a body that ends with its connection.
    pub fn read_to_end(&mut self) -> io::Result<Vec<u8>> {
        while self.fill()? > 0 {}
        Ok(std::mem::take(&mut self.buffer))
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// The value of `name` in the query of a request's target, with percent signs decoded.
pub fn query(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let pair =
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)?;
    let mut bytes = Vec::new();
    let mut rest = pair.1.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits: String = rest.by_ref().take(2).map(char::from).collect();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    Some(String::from_utf8_lossy(&bytes).into_owned())
}
