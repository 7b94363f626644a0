//! The thread that writes lines.

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

/// Lines that wait to be written. At 200 bytes a line this is about 200 KB.
const QUEUE_LINES: usize = 1024;

/// Lines a second over a longer time. At 250 bytes a line this is 100 KB a second, a tenth of the
/// smallest link of an entry VM.
const LINES_PER_SECOND: f64 = 400.0;

/// Longest wait for the queued lines at the end of the program.
const FLUSH_TIME: Duration = Duration::from_secs(1);

/// How many lines may be queued now. A flood, such as of datagrams that cannot be read, must not
/// cost an entry its processor time or its link.
struct Allowance {
    lines: f64,
    at: Instant,
}

impl Default for Allowance {
    fn default() -> Self {
        Self { lines: QUEUE_LINES as f64, at: Instant::now() }
    }
}

impl Allowance {
    fn take(&mut self, now: Instant) -> bool {
        let earned = now.saturating_duration_since(self.at).as_secs_f64() * LINES_PER_SECOND;
        self.lines = (self.lines + earned).min(QUEUE_LINES as f64);
        self.at = now;
        if self.lines < 1.0 {
            return false;
        }
        self.lines -= 1.0;
        true
    }
}

/// Numbers of lines.
#[derive(Default)]
struct Counts {
    allowance: Mutex<Allowance>,
    /// Lines queued since the start.
    queued: AtomicU64,
    /// Lines dropped since the last note about it.
    dropped: AtomicU64,
    /// Lines taken from the queue and written since the start.
    written: Mutex<u64>,
    /// `written` has grown.
    progress: Condvar,
}

impl Counts {
    fn written(&self) -> MutexGuard<'_, u64> {
        self.written.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends lines to the thread.
#[derive(Clone)]
pub(super) struct Queue {
    sender: SyncSender<String>,
    counts: Arc<Counts>,
}

impl Queue {
    /// Queues a line, or drops it if there are too many or the queue is full.
    pub(super) fn push(&self, line: String) {
        let allowance = &self.counts.allowance;
        if !allowance.lock().unwrap_or_else(PoisonError::into_inner).take(Instant::now()) {
            self.counts.dropped.fetch_add(1, SeqCst);
            return;
        }
        match self.sender.try_send(line) {
            Ok(()) => self.counts.queued.fetch_add(1, SeqCst),
            Err(_) => self.counts.dropped.fetch_add(1, SeqCst),
        };
    }
}

/// The thread that writes lines; dropping it waits until the lines queued are written, at most 1 s.
pub struct Writer {
    queue: Queue,
}

impl Writer {
    /// Starts a thread that writes to `output`. After lines were dropped, it also writes the line
    /// that `note` makes of their number. Errors of `output` are ignored, since there is no place
    /// left to report them.
    ///
    /// # Errors
    ///
    /// The thread could not be started.
    pub fn start(
        output: impl Write + Send + 'static,
        note: impl Fn(u64) -> String + Send + 'static,
    ) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUE_LINES);
        let counts = Arc::new(Counts::default());
        let queue = Queue { sender, counts: Arc::clone(&counts) };
        let run = move || write(output, &note, &receiver, &counts);
        thread::Builder::new().name("log".to_owned()).spawn(run)?;
        Ok(Self { queue })
    }

    /// Queues a line, which has its line break, or drops it if there are too many or the queue is
    /// full.
    pub fn push(&self, line: String) {
        self.queue.push(line);
    }

    pub(super) fn queue(&self) -> Queue {
        self.queue.clone()
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        let counts = &self.queue.counts;
        let queued = counts.queued.load(SeqCst);
        // A reader that is stuck must not keep the program from ending.
        let _ = counts.progress.wait_timeout_while(counts.written(), FLUSH_TIME, |n| *n < queued);
    }
}

fn write(
    mut output: impl Write,
    note: &impl Fn(u64) -> String,
    receiver: &Receiver<String>,
    counts: &Counts,
) {
    while let Ok(line) = receiver.recv() {
        let _ = output.write_all(line.as_bytes());
        let dropped = counts.dropped.swap(0, SeqCst);
        if dropped > 0 {
            let _ = output.write_all(note(dropped).as_bytes());
        }
        let _ = output.flush();
        *counts.written() += 1;
        counts.progress.notify_all();
    }
}
