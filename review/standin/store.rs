//! A stand-in of the platform's store: lists, and watches that wait for changes.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::query;

/// Time for which changes are kept for watches, as the settings state it.
const HISTORY: Duration = Duration::from_secs(20);

struct Event {
    at: Instant,
    revision: u64,
    key: String,
    /// `None` if the item was removed.
    value: Option<String>,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// Encoded value and revision of each item.
    items: BTreeMap<String, (String, u64)>,
    events: Vec<Event>,
    /// Changes up to this revision are no longer kept.
    forgotten: u64,
}

impl State {
    fn forget_old_events(&mut self) {
        let is_old = |event: &Event| event.at.elapsed() > HISTORY;
        let count = self.events.iter().take_while(|event| is_old(event)).count();
        if let Some(last) = self.events.drain(..count).next_back() {
            self.forgotten = last.revision;
        }
    }
}

/// A running store; clones share its contents.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

/// A way to the store that delays its answer to the first watch.
pub struct SlowLink {
    pub address: SocketAddr,
    /// Gets a message when the store has made up the answer to a watch, before the answer is delayed.
    pub watches: Receiver<()>,
}

/// The store's end of a [`SlowLink`].
#[derive(Clone)]
struct Delay {
    delay: Arc<Mutex<Duration>>,
    watches: Sender<()>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the store");
        let address = listener.local_addr().expect("address of the store");
        let store = Self { shared: Arc::default(), address };
        let accepting = store.clone();
        thread::spawn(move || accepting.accept(&listener, None));
        store
    }

    /// Opens a way to the store on which the answer to the first watch takes `delay` longer.
    pub fn open_slow_link(&self, delay: Duration) -> SlowLink {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the slow link");
        let address = listener.local_addr().expect("address of the slow link");
        let (sender, watches) = mpsc::channel();
        let delay = Arc::new(Mutex::new(delay));
        let link = SlowLink { address, watches };
        let store = self.clone();
        let delay = Delay { delay, watches: sender };
        thread::spawn(move || store.accept(&listener, Some(&delay)));
        link
    }

    fn accept(&self, listener: &TcpListener, delay: Option<&Delay>) {
        for stream in listener.incoming().flatten() {
            let store = self.clone();
            let delay = delay.cloned();
            thread::spawn(move || store.serve(stream, delay.as_ref()));
        }
    }

    pub fn remove(&self, key: &str) -> u64 {
        self.change(key, None)
    }

    /// Writes an item, and returns its revision: the store's acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.change(key, Some(base64(value.as_bytes())))
    }

    fn change(&self, key: &str, value: Option<String>) -> u64 {
        let mut state = self.shared.0.lock().expect("store");
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(text) => drop(state.items.insert(key.to_owned(), (text.clone(), revision))),
            None => drop(state.items.remove(key)),
        }
        state.events.push(Event { at: Instant::now(), revision, key: key.to_owned(), value });
        self.shared.1.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream, delay: Option<&Delay>) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.read_head() {
            let target = head.request_line().1.to_owned();
            let answer = if target.starts_with("/api/kv-range?") {
                ("200 OK", self.list(&target))
            } else if target.starts_with("/api/kv-watch?") {
                self.watch(&target)
            } else {
                ("404 Not Found", String::new())
            };
            let (status, body) = answer;
            if let Some(link) = delay {
                if target.starts_with("/api/kv-watch?") {
                    let _ = link.watches.send(());
                    let time = std::mem::take(&mut *link.delay.lock().expect("delay"));
                    thread::sleep(time);
                }
            }
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn list(&self, target: &str) -> String {
        let prefix = query(target, "prefix").unwrap_or_default();
        let after = query(target, "after").unwrap_or_default();
        let state = self.shared.0.lock().expect("store");
        let items: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .map(|(key, (value, revision))| item(key, value, *revision))
            .collect();
        format!(r#"{{"items":[{}],"morePages":false,"at":{}}}"#, items.join(","), state.revision)
    }

    fn watch(&self, target: &str) -> (&'static str, String) {
        let after: u64 = query(target, "after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait = query(target, "waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.shared.0.lock().expect("store");
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if state.revision > after || left.is_zero() {
                break;
            }
            state = self.shared.1.wait_timeout(state, left).expect("store").0;
        }
        state.forget_old_events();
        if after < state.forgotten {
            return ("410 Gone", String::new());
        }
        let events: Vec<String> = state
            .events
            .iter()
            .filter(|event| event.revision > after)
            .map(|event| match &event.value {
                Some(value) => item(&event.key, value, event.revision),
                None => format!(
                    r#"{{"key":"{}","revision":{},"removed":true}}"#,
                    event.key, event.revision
                ),
            })
            .collect();
        ("200 OK", format!(r#"{{"events":[{}],"at":{}}}"#, events.join(","), state.revision))
    }
}

fn item(key: &str, value: &str, revision: u64) -> String {
    format!(r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":1,"lease":0}}"#)
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(char::from(DIGITS[(word >> (18 - 6 * index) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
