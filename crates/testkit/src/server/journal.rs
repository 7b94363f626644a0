use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;

use super::Event;
use super::Ledger;

/// A file with the events of a server, one JSON document per line. A restarted server appends to
/// it.
#[derive(Debug)]
pub struct Journal {
    file: File,
}

impl Journal {
    /// Opens or creates the file.
    ///
    /// # Errors
    ///
    /// The file cannot be opened.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Self { file })
    }

    /// Writes events. They are in the operating system's page cache on return, so a SIGKILL does
    /// not lose them.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn write(&mut self, events: &[Event]) -> io::Result<()> {
        if events.is_empty() {
            return Ok(());
        }
        let mut lines = Vec::new();
        for event in events {
            serde_json::to_writer(&mut lines, event)?;
            lines.push(b'\n');
        }
        self.file.write_all(&lines)
    }

    /// Reads a journal file into a ledger. An incomplete last line, as a killed process leaves it,
    /// is ignored.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or another line is malformed.
    pub fn read(path: &Path) -> io::Result<Ledger> {
        let text = std::fs::read_to_string(path)?;
        let mut ledger = Ledger::default();
        for line in text.split_inclusive('\n').filter(|line| line.ends_with('\n')) {
            ledger.replay(&serde_json::from_str(line)?);
        }
        Ok(ledger)
    }
}
