//! Log lines on stdout.
//!
//! Messages come through the `log` crate; fern filters them by level, and [`line`] encodes them as
//! text or JSON. A [`Writer`] thread writes the lines. A slow or closed stdout must not
//! block requests, so lines reach the thread through a bounded queue. Lines are dropped when the
//! queue is full or when their rate exceeds a limit for a longer time; the number of dropped lines
//! is logged.

mod line;
mod writer;

use std::io;
use std::time::SystemTime;

use fern::Dispatch;
use fern::Output;
use log::Level;
use log::Record;
use quick_error::quick_error;

use crate::settings::LogSettings;
use jackdawpin_core::name;

pub use self::line::Line;
pub use self::writer::Writer;

quick_error! {
    /// Why the log could not be started.
    #[derive(Debug)]
    pub enum Error {
        /// The writer thread could not be started.
        Thread(error: io::Error) {
            display("cannot start the log writer: {}", error)
            source(error)
            from()
        }
        /// The log was already started.
        Started(error: log::SetLoggerError) {
            display("cannot set the logger: {}", error)
            source(error)
            from()
        }
    }
}

/// Starts the log. Queued lines are written when the returned writer is dropped, so it must be kept
/// until the program ends.
///
/// # Errors
///
/// The log was already started, or the writer thread could not be started.
pub fn start(log: LogSettings, vm: &name::Vm) -> Result<Writer, Error> {
    let notice_vm = vm.clone();
    let drop_notice = move |lines| {
        let mut record = Record::builder();
        record.level(Level::Warn).target(module_path!());
        let message =
            format_args!("{lines} log lines were dropped: too many, or stdout is read too slowly");
        let record = record.args(message).build();
        Line { time: SystemTime::now(), vm: &notice_vm, record: &record }.encode(log.format)
    };
    let writer = Writer::start(io::stdout(), drop_notice)?;
    let queue = writer.queue();
    let vm = vm.clone();
    // fern's own output to stdout panics when stdout is closed, so lines go through a function.
    let output = Output::call(move |record| {
        let time = SystemTime::now();
        queue.push(Line { time, vm: &vm, record }.encode(log.format));
    });
    Dispatch::new().level(log.level).chain(output).apply()?;
    Ok(writer)
}
