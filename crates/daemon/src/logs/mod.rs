//! Log lines on stdout.
//!
//! Messages come through the `log` crate; fern filters them by level, and [`line`] encodes them as
//! text or JSON. A [`Writer`] thread writes the lines. A reader of stdout that is slow or gone must
//! not hold up requests, so lines go to the thread through a bounded queue: when it is full, or
//! when there are too many lines over a longer time, lines are dropped and their number is logged.

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
        /// The log was started before.
        Started(error: log::SetLoggerError) {
            display("cannot set the logger: {}", error)
            source(error)
            from()
        }
    }
}

/// Starts the log. The lines queued are written when the result is dropped, so it must live as long
/// as the program.
///
/// # Errors
///
/// The log was started before, or the writer thread could not be started.
pub fn start(log: LogSettings, vm: &name::Vm) -> Result<Writer, Error> {
    let noted = vm.clone();
    let note = move |lines| {
        let mut record = Record::builder();
        record.level(Level::Warn).target(module_path!());
        let message =
            format_args!("{lines} log lines were dropped: too many, or stdout is read too slowly");
        let record = record.args(message).build();
        Line { time: SystemTime::now(), vm: &noted, record: &record }.encode(log.format)
    };
    let writer = Writer::start(io::stdout(), note)?;
    let queue = writer.queue();
    let vm = vm.clone();
    // fern's own output to stdout panics when stdout is closed, hence the function.
    let output = Output::call(move |record| {
        let time = SystemTime::now();
        queue.push(Line { time, vm: &vm, record }.encode(log.format));
    });
    Dispatch::new().level(log.level).chain(output).apply()?;
    Ok(writer)
}
