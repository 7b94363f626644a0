use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use quick_error::quick_error;
use tokio::net::TcpStream;

/// Largest number of idle connections kept per address; further ones are closed after use.
const MAX_IDLE_PER_ADDRESS: usize = 512;

quick_error! {
    /// Why a request has no complete answer.
    #[derive(Debug)]
    pub enum Error {
        /// No connection was established, so nothing was sent.
        Connect(address: SocketAddr, err: io::Error) {
            display("connecting to {}: {}", address, err)
            source(err)
        }
        /// The connection broke, or the answer was truncated or malformed.
        Exchange(address: SocketAddr, err: hyper::Error) {
            display("exchange with {}: {}", address, err)
            source(err)
        }
        /// No complete answer arrived before the timeout.
        Timeout(address: SocketAddr) {
            display("no answer from {} in time", address)
        }
        /// The request could not be built.
        Request(err: http::Error) {
            from()
            display("building a request: {}", err)
            source(err)
        }
    }
}

/// A response with its complete body.
#[derive(Debug, Clone)]
pub struct FullResponse {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl FullResponse {
    /// The value of a header field, if it is present and visible ASCII text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// Idle connections, kept for reuse per address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
}

impl Pool {
    /// Sends a request and waits for its complete answer. There is no timeout.
    ///
    /// If an idle connection turns out to be closed before anything was written, the request is
    /// sent over another one. A connection is kept only after a complete answer.
    ///
    /// # Errors
    ///
    /// No connection was established, the connection broke, or the answer was truncated or
    /// malformed.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<FullResponse, Error> {
        let mut request = request;
        while let Some(mut sender) = self.pop_idle(address) {
            match sender.try_send_request(request).await {
                Ok(response) => return self.receive(address, sender, response).await,
                Err(mut err) => match err.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(Error::Exchange(address, err.into_error())),
                },
            }
        }
        let mut sender = connect(address).await?;
        let sent = sender.send_request(request).await;
        let response = sent.map_err(|err| Error::Exchange(address, err))?;
        self.receive(address, sender, response).await
    }

    async fn receive(
        &self,
        address: SocketAddr,
        mut sender: Sender,
        response: Response<Incoming>,
    ) -> Result<FullResponse, Error> {
        let (parts, body) = response.into_parts();
        let collected = body.collect().await.map_err(|err| Error::Exchange(address, err))?;
        let response = FullResponse {
            status: parts.status,
            headers: parts.headers,
            body: collected.to_bytes(),
        };
        if sender.ready().await.is_ok() {
            self.push_idle(address, sender);
        }
        Ok(response)
    }

    fn pop_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock();
        let senders = idle.get_mut(&address)?;
        while let Some(sender) = senders.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn push_idle(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock();
        let senders = idle.entry(address).or_default();
        if senders.len() < MAX_IDLE_PER_ADDRESS {
            senders.push(sender);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, Error> {
    let connected = TcpStream::connect(address).await;
    let stream = connected.map_err(|err| Error::Connect(address, err))?;
    // Without the option only latency suffers, so a failure is ignored.
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|err| Error::Exchange(address, err))?;
    // The sender of the request sees an error of the connection as well.
    tokio::spawn(connection);
    Ok(sender)
}

/// Sends one request over a new connection, for control and inspection.
///
/// # Errors
///
/// As for [`Pool::send`], and if no complete answer arrives within `timeout`.
pub async fn fetch(
    address: SocketAddr,
    method: &str,
    target: &str,
    body: impl Into<Bytes>,
    timeout: Duration,
) -> Result<FullResponse, Error> {
    let request = Request::builder()
        .method(method)
        .uri(target)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(body.into()))?;
    let pool = Pool::default();
    match tokio::time::timeout(timeout, pool.send(address, request)).await {
        Ok(result) => result,
        Err(_) => Err(Error::Timeout(address)),
    }
}
