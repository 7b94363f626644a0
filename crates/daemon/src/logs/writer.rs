//! The queue of log lines and the thread that writes them.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Most lines that wait to be written, and most lines in a burst. At 200 bytes a line this is about
/// 200 KB.
const QUEUE_LINES: usize = 1024;

/// Most lines per second on average. At 250 bytes a line this is 100 KB per second, a tenth of the
/// capacity of the smallest link of an entry VM.
const LINES_PER_SECOND: f64 = 400.0;

/// Longest wait until the queued lines are written at the end of the program.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits the rate of lines with a token bucket of one token per line. A flood of lines, such as
/// about datagrams that cannot be decoded, must not use up the processor time or the link of an
/// entry.
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl Default for TokenBucket {
    fn default() -> Self {
        Self { tokens: QUEUE_LINES as f64, refilled_at: Instant::now() }
    }
}

impl TokenBucket {
    /// Takes a token; false if there is none.
    fn try_take(&mut self, now: Instant) -> bool {
        let refill =
            now.saturating_duration_since(self.refilled_at).as_secs_f64() * LINES_PER_SECOND;
        self.tokens = (self.tokens + refill).min(QUEUE_LINES as f64);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// State that the senders of lines share with the thread.
#[derive(Default)]
struct Shared {
    bucket: Mutex<TokenBucket>,
    /// Lines queued since the start.
    queued: AtomicU64,
    /// Lines dropped since the last line that reported dropped lines.
    dropped: AtomicU64,
    /// Lines taken from the queue and written since the start.
    written: Mutex<u64>,
    /// Notified when `written` has increased.
    progress: Condvar,
}

impl Shared {
    fn written(&self) -> MutexGuard<'_, u64> {
        self.written.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The sending end of the queue.
#[derive(Clone)]
pub(super) struct Queue {
    sender: SyncSender<String>,
    shared: Arc<Shared>,
}

impl Queue {
    /// Queues a line, or drops it if the rate limit is exceeded or the queue is full.
    pub(super) fn push(&self, line: String) {
        let bucket = &self.shared.bucket;
        if !bucket.lock().unwrap_or_else(PoisonError::into_inner).try_take(Instant::now()) {
            self.shared.dropped.fetch_add(1, SeqCst);
            return;
        }
        match self.sender.try_send(line) {
            Ok(()) => self.shared.queued.fetch_add(1, SeqCst),
            Err(_) => self.shared.dropped.fetch_add(1, SeqCst),
        };
    }
}

/// The thread that writes lines. Dropping the writer waits until the queued lines are written, at
/// most 1 s.
pub struct Writer {
    queue: Queue,
}

impl Writer {
    /// Starts a thread that writes to `output`. After lines were dropped, it also writes the line
    /// that `drop_notice` makes from their number. Errors of `output` are ignored, since they
    /// cannot be reported anywhere.
    ///
    /// # Errors
    ///
    /// The thread could not be started.
    pub fn start(
        output: impl Write + Send + 'static,
        drop_notice: impl Fn(u64) -> String + Send + 'static,
    ) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUE_LINES);
        let shared = Arc::new(Shared::default());
        let queue = Queue { sender, shared: Arc::clone(&shared) };
        let run = move || write_lines(output, &drop_notice, &receiver, &shared);
        thread::Builder::new().name("log".to_owned()).spawn(run)?;
        Ok(Self { queue })
    }

    /// Queues a line that ends with a line break, or drops it if the rate limit is exceeded or the
    /// queue is full.
    pub fn push(&self, line: String) {
        self.queue.push(line);
    }

    pub(super) fn queue(&self) -> Queue {
        self.queue.clone()
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        let shared = &self.queue.shared;
        let queued = shared.queued.load(SeqCst);
        // A blocked output must not keep the program from ending.
        let _ = shared
            .progress
            .wait_timeout_while(shared.written(), FLUSH_TIMEOUT, |written| *written < queued);
    }
}

/// Writes lines until all senders are dropped.
fn write_lines(
    mut output: impl Write,
    drop_notice: &impl Fn(u64) -> String,
    receiver: &Receiver<String>,
    shared: &Shared,
) {
    while let Ok(line) = receiver.recv() {
        let _ = output.write_all(line.as_bytes());
        let dropped = shared.dropped.swap(0, SeqCst);
        if dropped > 0 {
            let _ = output.write_all(drop_notice(dropped).as_bytes());
        }
        let _ = output.flush();
        *shared.written() += 1;
        shared.progress.notify_all();
    }
}
