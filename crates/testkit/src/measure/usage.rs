use std::fs;
use std::time::Duration;

use super::Error;

/// Ticks per second of the CPU times in `/proc/PID/stat`. The kernel's interface fixes it at 100 on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Place of the user time among the fields after the program's name, which is field 2; the user time is field 14.
const USER_TIME: usize = 11;

/// What a process has used so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// User and system time of all threads, in steps of 10 ms.
    pub cpu: Duration,
    /// Resident memory in KiB.
    pub resident_kib: u64,
}

impl Usage {
    /// Reads it from `/proc`.
    ///
    /// # Errors
    ///
    /// The process has ended, or the files do not have the form that proc(5) describes.
    pub fn of(process: u32) -> Result<Self, Error> {
        let stat = format!("/proc/{process}/stat");
        let status = format!("/proc/{process}/status");
        let cpu = cpu(&read(&stat)?).ok_or(Error::Malformed(stat))?;
        let resident_kib = resident(&read(&status)?).ok_or(Error::Malformed(status))?;
        Ok(Self { cpu, resident_kib })
    }
}

fn read(path: &str) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|err| Error::Io(path.to_owned(), err))
}

/// The program's name is in parentheses and may contain spaces, so fields are counted after the last parenthesis.
fn cpu(stat: &str) -> Option<Duration> {
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut times = fields.split(' ').skip(USER_TIME).map(str::parse::<u32>);
    let user = times.next()?.ok()?;
    let system = times.next()?.ok()?;
    Some(Duration::from_secs_f64(f64::from(user + system) / TICKS_PER_SECOND))
}

fn resident(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().strip_suffix(" kB")?.parse().ok()
}
