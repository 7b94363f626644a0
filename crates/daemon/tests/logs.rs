//! Log lines: encoding and writing.

// clippy.toml allows it in test functions only, not in their helpers.
#![allow(clippy::unwrap_used)]

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
use std::time::Duration;
use std::time::SystemTime;

use log::Level;
use log::Record;
use rstest::rstest;

use jackdawpin_core::name;
use jackdawpin_daemon::logs::Line;
use jackdawpin_daemon::logs::Writer;
use jackdawpin_daemon::settings::LogFormat;

/// Guards against lines that a reader cannot take apart, also with text from outside in the
/// message.
#[rstest]
#[case(LogFormat::Text, "2026-12-04T07:40:19.045Z WARN  front e1: a \"b\"\\nc\n")]
#[case(
    LogFormat::Json,
    "{\"time\":\"2026-12-04T07:40:19.045Z\",\"level\":\"WARN\",\"target\":\"front\",\
     \"vm\":\"e1\",\"message\":\"a \\\"b\\\"\\nc\"}\n"
)]
fn lines(#[case] format: LogFormat, #[case] expected: &str) {
    let time = SystemTime::UNIX_EPOCH + Duration::from_millis(1_796_370_019_045);
    let vm = name::Vm::try_from("e1").unwrap();
    let mut record = Record::builder();
    record.level(Level::Warn).target("front");
    let encode = |record: &Record<'_>| Line { time, vm: &vm, record }.encode(format);
    assert_eq!(encode(&record.args(format_args!("a \"b\"\nc")).build()), expected);
}

/// Keeps what is written; each write waits for a message if there is a channel.
#[derive(Clone, Default)]
struct Output {
    written: Arc<Mutex<Vec<u8>>>,
    gate: Option<Arc<Mutex<Receiver<()>>>>,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Some(gate) = &self.gate {
            let _ = gate.lock().unwrap().recv();
        }
        self.written.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn note(dropped: u64) -> String {
    format!("{dropped} dropped\n")
}

fn text(output: &Output) -> String {
    String::from_utf8(output.written.lock().unwrap().clone()).unwrap()
}

/// Guards against lines that are lost at the end of the program.
#[test]
fn drop_writes_the_queue() {
    let output = Output::default();
    let writer = Writer::start(output.clone(), note).unwrap();
    for i in 0..100 {
        writer.push(format!("{i}\n"));
    }
    drop(writer);
    assert_eq!(text(&output).lines().count(), 100);
}

/// Guards against a reader of stderr that holds up the program, and against drops that go
/// unnoticed.
#[test]
fn full_queue_drops() {
    let (open, gate) = channel();
    let output = Output { gate: Some(Arc::new(Mutex::new(gate))), ..Output::default() };
    let writer = Writer::start(output.clone(), note).unwrap();
    for _ in 0..2000 {
        writer.push("line\n".to_owned());
    }
    drop(open);
    drop(writer);
    let text = text(&output);
    let lines = text.lines().filter(|line| *line == "line").count();
    let notes = text.lines().filter_map(|line| line.strip_suffix(" dropped"));
    let dropped: usize = notes.map(|count| count.parse::<usize>().unwrap()).sum();
    assert!(dropped > 0);
    assert_eq!(lines + dropped, 2000);
}

/// Guards against a flood of lines that costs the entry its processor time and its link: over a
/// longer time there are at most 400 a second, and what is left out is counted.
#[test]
fn flood_is_bounded() {
    let output = Output::default();
    let writer = Writer::start(output.clone(), note).unwrap();
    let begun = std::time::Instant::now();
    for _ in 0..200 {
        for _ in 0..100 {
            writer.push("line\n".to_owned());
        }
        std::thread::sleep(std::time::Duration::from_millis(2));
    }
    std::thread::sleep(std::time::Duration::from_millis(20));
    writer.push("last\n".to_owned());
    let seconds = begun.elapsed().as_secs_f64();
    drop(writer);
    let text = text(&output);
    let lines = text.lines().filter(|line| !line.ends_with(" dropped")).count();
    let notes = text.lines().filter_map(|line| line.strip_suffix(" dropped"));
    let dropped: usize = notes.map(|count| count.parse::<usize>().unwrap()).sum();
    assert_eq!(lines + dropped, 20_001);
    assert!(lines as f64 <= 1_024.0 + 400.0 * seconds + 1.0, "{lines} lines in {seconds} s");
}

/// Fails each write.
struct Closed;

impl Write for Closed {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::Error::from(io::ErrorKind::BrokenPipe))
    }

    fn flush(&mut self) -> io::Result<()> {
        Err(io::Error::from(io::ErrorKind::BrokenPipe))
    }
}

/// Guards against a closed stderr that ends the program or its log thread.
#[test]
fn closed_output_is_ignored() {
    let writer = Writer::start(Closed, note).unwrap();
    writer.push("line\n".to_owned());
    drop(writer);
}
