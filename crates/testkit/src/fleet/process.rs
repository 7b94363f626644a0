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

/// Interval between two checks whether a process has exited or accepts connections.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time within which all threads of a process must stop after SIGSTOP.
const SUSPEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between two checks whether a process has stopped.
const SUSPEND_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Bytes from the end of a log that are included in an error.
const LOG_TAIL_BYTES: usize = 2_000;

/// A child process, which is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program. Its standard output and standard error are appended to the file `log`.
    ///
    /// # Errors
    ///
    /// The log file cannot be opened or the program cannot be started.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        log: &Path,
    ) -> Result<Self, Error> {
        Self::start_with_env(name, program, arguments, &[], log)
    }

    /// Like [`Process::start`], with additional environment variables.
    ///
    /// # Errors
    ///
    /// The log file cannot be opened or the program cannot be started.
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

    /// Starts a program with additional environment variables. Its standard error is appended to
    /// the file `log`, its standard output goes to `output`.
    ///
    /// # Errors
    ///
    /// The log file cannot be opened or the program cannot be started.
    pub fn start_with_output(
        name: &str,
        program: &Path,
        arguments: &[String],
        variables: &[(&str, &str)],
        (log, output): (&Path, Stdio),
    ) -> Result<Self, Error> {
        let opened = File::options().create(true).append(true).open(log);
        let error_file = opened.context(format!("opening {}", log.display()))?;
        let spawned = Command::new(program)
            .args(arguments)
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(error_file)
            .spawn();
        let child = spawned.context(format!("starting {}", program.display()))?;
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
    /// The process has exited.
    pub fn signal(&mut self, signal: Signal) -> Result<(), Error> {
        // Once the exit status has been collected, the id may be reused for another process.
        if self.exit_status()?.is_some() {
            return Err(Error::NotRunning(self.name.clone()));
        }
        let sent = kill_process(Pid::from_child(&self.child), signal);
        sent.map_err(|err| Error::Io(format!("sending a signal to {}", self.name), err.into()))
    }

    /// Suspends the process (SIGSTOP) and waits until all its threads have stopped, which some do
    /// only a moment after the signal was sent.
    ///
    /// # Errors
    ///
    /// The process has exited, or does not stop within 5 s.
    pub async fn suspend(&mut self) -> Result<(), Error> {
        self.signal(Signal::STOP)?;
        let deadline = Instant::now() + SUSPEND_TIMEOUT;
        let options = WaitIdOptions::STOPPED | WaitIdOptions::NOHANG;
        loop {
            let state = waitid(WaitId::Pid(Pid::from_child(&self.child)), options);
            let state =
                state.map_err(|err| Error::Io(format!("suspending {}", self.name), err.into()))?;
            if state.is_some_and(|state| state.stopped()) {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(Error::Timeout(
                    format!("suspension of {}", self.name),
                    SUSPEND_TIMEOUT,
                ));
            }
            tokio::time::sleep(SUSPEND_POLL_INTERVAL).await;
        }
    }

    /// The exit status; `None` while the process runs.
    ///
    /// # Errors
    ///
    /// The operating system cannot give the status.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>, Error> {
        let status = self.child.try_wait().context("waiting for a process")?;
        Ok(status)
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    ///
    /// The process does not exit within `limit`.
    pub async fn wait_exit(&mut self, limit: Duration) -> Result<ExitStatus, Error> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.exit_status()? {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(Error::Timeout(format!("exit of {}", self.name), limit));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the process accepts connections on `address`.
    ///
    /// # Errors
    ///
    /// The process does not accept connections within `limit`, or it exits.
    pub async fn wait_listening(
        &mut self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<(), Error> {
        let deadline = Instant::now() + limit;
        while tokio::net::TcpStream::connect(address).await.is_err() {
            if self.exit_status()?.is_some() {
                return Err(Error::Exited(self.name.clone(), self.log_tail()));
            }
            if Instant::now() >= deadline {
                return Err(Error::Timeout(
                    format!("listening of {} on {address}", self.name),
                    limit,
                ));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// The last 2,000 bytes of the process's log.
    pub fn log_tail(&self) -> String {
        let log = std::fs::read(&self.log).unwrap_or_default();
        let start = log.len().saturating_sub(LOG_TAIL_BYTES);
        String::from_utf8_lossy(&log[start..]).into_owned()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It is no error if the process has exited already. SIGKILL also ends a suspended process.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
