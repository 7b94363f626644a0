//! Encoding and writing of log lines.

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

/// Guards against lines that cannot be parsed, also when the message contains quotes and line
/// breaks.
#[rstest]
#[case(LogFormat::Text, "2026-12-04T07:40:19.045Z WARN  front e1: a \"b\"\\nc\n")]
#[case(
    LogFormat::Json,
    "{\"time\":\"2026-12-04T07:40:19.045Z\",\"level\":\"WARN\",\"target\":\"front\",\
     \"vm\":\"e1\",\"message\":\"a \\\"b\\\"\\nc\"}\n"
)]
fn line_formats(#[case] format: LogFormat, #[case] expected: &str) {
    let time = SystemTime::UNIX_EPOCH + Duration::from_millis(1_796_370_019_045);
    let vm = name::Vm::try_from("e1").unwrap();
    let mut record = Record::builder();
    record.level(Level::Warn).target("front");
    let encode = |record: &Record<'_>| Line { time, vm: &vm, record }.encode(format);
    assert_eq!(encode(&record.args(format_args!("a \"b\"\nc")).build()), expected);
}

/// Keeps what is written. If there is a gate, each write waits for a message on this channel, or
/// until its sender is dropped.
#[derive(Clone, Default)]
struct GatedOutput {
    written: Arc<Mutex<Vec<u8>>>,
    gate: Option<Arc<Mutex<Receiver<()>>>>,
}

impl Write for GatedOutput {
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

/// The line that reports dropped lines.
fn drop_notice(dropped: u64) -> String {
    format!("{dropped} dropped\n")
}

/// What was written to the output.
fn written_text(output: &GatedOutput) -> String {
    String::from_utf8(output.written.lock().unwrap().clone()).unwrap()
}

/// Guards against queued lines that are lost at the end of the program.
#[test]
fn drop_writes_queued_lines() {
    let output = GatedOutput::default();
    let writer = Writer::start(output.clone(), drop_notice).unwrap();
    for i in 0..100 {
        writer.push(format!("{i}\n"));
    }
    drop(writer);
    assert_eq!(written_text(&output).lines().count(), 100);
}

/// Guards against a blocked output that blocks the program, and against dropped lines that are not
/// reported.
#[test]
fn full_queue_drops_lines() {
    let (gate_sender, gate) = channel();
    let output = GatedOutput { gate: Some(Arc::new(Mutex::new(gate))), ..GatedOutput::default() };
    let writer = Writer::start(output.clone(), drop_notice).unwrap();
    for _ in 0..2000 {
        writer.push("line\n".to_owned());
    }
    drop(gate_sender);
    drop(writer);
    let text = written_text(&output);
    let lines = text.lines().filter(|line| *line == "line").count();
    let notices = text.lines().filter_map(|line| line.strip_suffix(" dropped"));
    let dropped: usize = notices.map(|count| count.parse::<usize>().unwrap()).sum();
    assert!(dropped > 0);
    assert_eq!(lines + dropped, 2000);
}

/// Guards against a flood of lines that uses up the processor time and the link of the entry: on
/// average, at most 400 lines are written per second, and dropped lines are counted.
#[test]
fn line_rate_is_limited() {
    let output = GatedOutput::default();
    let writer = Writer::start(output.clone(), drop_notice).unwrap();
    let started = std::time::Instant::now();
    for _ in 0..200 {
        for _ in 0..100 {
            writer.push("line\n".to_owned());
        }
        std::thread::sleep(std::time::Duration::from_millis(2));
    }
    std::thread::sleep(std::time::Duration::from_millis(20));
    writer.push("last\n".to_owned());
    let seconds = started.elapsed().as_secs_f64();
    drop(writer);
    let text = written_text(&output);
    let lines = text.lines().filter(|line| !line.ends_with(" dropped")).count();
    let notices = text.lines().filter_map(|line| line.strip_suffix(" dropped"));
    let dropped: usize = notices.map(|count| count.parse::<usize>().unwrap()).sum();
    assert_eq!(lines + dropped, 20_001);
    assert!(lines as f64 <= 1_024.0 + 400.0 * seconds + 1.0, "{lines} lines in {seconds} s");
}

/// An output that fails each write.
struct ClosedOutput;

impl Write for ClosedOutput {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::Error::from(io::ErrorKind::BrokenPipe))
    }

    fn flush(&mut self) -> io::Result<()> {
        Err(io::Error::from(io::ErrorKind::BrokenPipe))
    }
}

/// Guards against a closed output that ends the program or its log thread.
#[test]
fn closed_output_is_ignored() {
    let writer = Writer::start(ClosedOutput, drop_notice).unwrap();
    writer.push("line\n".to_owned());
    drop(writer);
}
