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

/// Idle connections kept per address; more are closed after use.
const MAX_IDLE: usize = 512;

quick_error! {
    /// Why there is no whole answer.
    #[derive(Debug)]
    pub enum Error {
        /// No connection was made, so nothing was sent.
        Connect(address: SocketAddr, err: io::Error) {
            display("connecting to {}: {}", address, err)
            source(err)
        }
        /// The connection broke, or the answer was cut or malformed.
        Exchange(address: SocketAddr, err: hyper::Error) {
            display("exchange with {}: {}", address, err)
            source(err)
        }
        /// No whole answer came in time.
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

/// An answer with its whole body.
#[derive(Debug, Clone)]
pub struct FullResponse {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// FullResponse body.
    pub body: Bytes,
}

impl FullResponse {
    /// A header's value, if it is there and readable text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// Kept-alive connections to any number of addresses.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
}

impl Pool {
    /// Sends a request and waits for its whole answer.
    ///
    /// A kept-alive connection that turns out to be closed before anything was written is replaced by a new one. A
    /// connection is kept only after a whole answer.
    ///
    /// # Errors
    ///
    /// No connection, a broken exchange, or a cut answer. There is no deadline here.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<FullResponse, Error> {
        let mut request = request;
        while let Some(mut sender) = self.take(address) {
            match sender.try_send_request(request).await {
                Ok(response) => return self.finish(address, sender, response).await,
                Err(mut err) => match err.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(Error::Exchange(address, err.into_error())),
                },
            }
        }
        let mut sender = connect(address).await?;
        let sent = sender.send_request(request).await;
        let response = sent.map_err(|err| Error::Exchange(address, err))?;
        self.finish(address, sender, response).await
    }

    async fn finish(
        &self,
        address: SocketAddr,
        mut sender: Sender,
        response: Response<Incoming>,
    ) -> Result<FullResponse, Error> {
        let (parts, body) = response.into_parts();
        let collected = body.collect().await.map_err(|err| Error::Exchange(address, err))?;
        let whole = FullResponse {
            status: parts.status,
            headers: parts.headers,
            body: collected.to_bytes(),
        };
        if sender.ready().await.is_ok() {
            self.keep(address, sender);
        }
        Ok(whole)
    }

    fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock();
        let senders = idle.get_mut(&address)?;
        while let Some(sender) = senders.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock();
        let senders = idle.entry(address).or_default();
        if senders.len() < MAX_IDLE {
            senders.push(sender);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, Error> {
    let connected = TcpStream::connect(address).await;
    let stream = connected.map_err(|err| Error::Connect(address, err))?;
    // A failure costs latency only.
    let _ = stream.set_nodelay(true);
    let made = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = made.map_err(|err| Error::Exchange(address, err))?;
    // An error of the connection reaches the exchange as well.
    tokio::spawn(connection);
    Ok(sender)
}

/// Sends one request with an empty body over a connection of its own, for control and inspection.
///
/// # Errors
///
/// As for [`Pool::send`], and no whole answer within `timeout`.
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
