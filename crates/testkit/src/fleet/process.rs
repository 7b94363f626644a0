use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use quick_error::ResultExt;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::WaitId;
use rustix::process::WaitIdOptions;
use rustix::process::kill_process;
use rustix::process::waitid;

use super::Error;

/// How often a process is asked whether it ended, or a listener whether it is there.
const POLL: Duration = Duration::from_millis(10);
/// Time for a process to stop after SIGSTOP, and how often it is looked at.
const PAUSE_LIMIT: Duration = Duration::from_secs(5);
const PAUSE_POLL: Duration = Duration::from_millis(1);
/// Bytes from the end of a log that go into an error.
const LOG_TAIL: usize = 2_000;

/// A child process, which is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program. Its output, normal and of errors, is appended to `log`.
    ///
    /// # Errors
    ///
    /// The log cannot be opened, or the program not started.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        log: &Path,
    ) -> Result<Self, Error> {
        Self::start_with_env(name, program, arguments, &[], log)
    }

    /// As [`Process::start`], with environment variables.
    ///
    /// # Errors
    ///
    /// The log cannot be opened, or the program not started.
    pub fn start_with_env(
        name: &str,
        program: &Path,
        arguments: &[String],
        variables: &[(&str, &str)],
        log: &Path,
    ) -> Result<Self, Error> {
        let opened = File::options().create(true).append(true).open(log);
        let file = opened.context(format!("opening {}", log.display()))?;
        Self::start_with_output(name, program, arguments, variables, (log, file.into()))
    }

    /// Starts a program with environment variables. Its standard error goes to a log file, its
    /// standard output elsewhere.
    ///
    /// # Errors
    ///
    /// The program cannot be started or the log file not be opened.
    pub fn start_with_output(
        name: &str,
        program: &Path,
        arguments: &[String],
        variables: &[(&str, &str)],
        (log, output): (&Path, Stdio),
    ) -> Result<Self, Error> {
        let opened = File::options().create(true).append(true).open(log);
        let errors = opened.context(format!("opening {}", log.display()))?;
        let started = Command::new(program)
            .args(arguments)
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn();
        let child = started.context(format!("starting {}", program.display()))?;
        Ok(Self { name: name.to_owned(), child, log: log.to_owned() })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn signal(&mut self, signal: Signal) -> Result<(), Error> {
        // After a successful wait the id may belong to another process.
        if self.exit_status()?.is_some() {
            return Err(Error::NotRunning(self.name.clone()));
        }
        let sent = kill_process(Pid::from_child(&self.child), signal);
        sent.map_err(|err| Error::Io(format!("signalling {}", self.name), err.into()))
    }

    /// Pauses the process and waits until it has stopped: some of its threads may run on for a moment after the
    /// signal was sent.
    ///
    /// # Errors
    ///
    /// The process has ended, or does not stop within 5 s.
    pub async fn suspend(&mut self) -> Result<(), Error> {
        self.signal(Signal::STOP)?;
        let end = Instant::now() + PAUSE_LIMIT;
        let options = WaitIdOptions::STOPPED | WaitIdOptions::NOHANG;
        loop {
            let state = waitid(WaitId::Pid(Pid::from_child(&self.child)), options);
            let state =
                state.map_err(|err| Error::Io(format!("pausing {}", self.name), err.into()))?;
            if state.is_some_and(|state| state.stopped()) {
                return Ok(());
            }
            if Instant::now() >= end {
                return Err(Error::Timeout(format!("the pause of {}", self.name), PAUSE_LIMIT));
            }
            tokio::time::sleep(PAUSE_POLL).await;
        }
    }

    /// How the process ended, if it has.
    ///
    /// # Errors
    ///
    /// The operating system does not say.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>, Error> {
        let status = self.child.try_wait().context("waiting for a process")?;
        Ok(status)
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// It does not end within `limit`.
    pub async fn wait_exit(&mut self, limit: Duration) -> Result<ExitStatus, Error> {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.exit_status()? {
                return Ok(status);
            }
            if Instant::now() >= end {
                return Err(Error::Timeout(format!("the end of {}", self.name), limit));
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Waits until the process accepts connections.
    ///
    /// # Errors
    ///
    /// It does not within `limit`, or it ends.
    pub async fn wait_listening(
        &mut self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<(), Error> {
        let end = Instant::now() + limit;
        while tokio::net::TcpStream::connect(address).await.is_err() {
            if self.exit_status()?.is_some() {
                return Err(Error::Exited(self.name.clone(), self.log_tail()));
            }
            if Instant::now() >= end {
                return Err(Error::Timeout(
                    format!("listening of {} on {address}", self.name),
                    limit,
                ));
            }
            tokio::time::sleep(POLL).await;
        }
        Ok(())
    }

    /// The end of what the process wrote.
    pub fn log_tail(&self) -> String {
        let log = std::fs::read(&self.log).unwrap_or_default();
        let from = log.len().saturating_sub(LOG_TAIL);
        String::from_utf8_lossy(&log[from..]).into_owned()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has ended already is not an error here. SIGKILL also ends a paused one.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
