use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use quick_error::ResultExt;
use rustix::process::Signal;

use super::CONTROL_PORT;
use super::Documents;
use super::Error;
use super::Layout;
use super::LoopbackAddress;
use super::Process;
use super::Program;
use super::Programs;
use super::REQUEST_PORT;
use super::Vm;
use super::VmRole;
use super::VmState;
use super::command_line;
use crate::caller::ServerLedger;
use crate::http::FullResponse;
use crate::http::fetch;
use crate::server::Journal;

/// Name of the region of all VMs.
const REGION: &str = "r1";
/// Name of the platform's process.
const PLATFORM_PROCESS: &str = "platform";
/// Time within which a stand-in must accept connections after its start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a control request must be answered.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between two checks whether an entry is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of temporary folders that this process has created.
static FOLDER_COUNT: AtomicU32 = AtomicU32::new(0);

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    layout: Layout,
    programs: Programs,
    folder: PathBuf,
    platform_address: SocketAddr,
    processes: BTreeMap<String, Process>,
    // Keeps the loopback addresses reserved until the fleet is dropped.
    _allocated_addresses: Vec<LoopbackAddress>,
    /// The configuration and the VM list. Changes take effect with [`Documents::publish_config`]
    /// and [`Documents::publish_vm_list`].
    pub documents: Documents,
}

impl Fleet {
    /// Writes the documents, starts the platform and the servers, and waits until they accept
    /// connections.
    ///
    /// # Errors
    ///
    /// A program has not been built, exits or does not accept connections within 10 s, or a
    /// document cannot be written.
    pub async fn start(layout: Layout) -> Result<Self, Error> {
        let programs = Programs::beside_current_exe()?;
        let folder = create_folder()?;
        let documents = Documents::new(&folder);
        let platform = LoopbackAddress::allocate()?;
        let mut fleet = Self {
            layout,
            programs,
            folder,
            platform_address: platform.with_port(REQUEST_PORT),
            processes: BTreeMap::new(),
            _allocated_addresses: vec![platform],
            documents,
        };
        fleet.add_vms()?;
        fleet.documents.publish_config()?;
        fleet.documents.publish_vm_list()?;
        let arguments = command_line::platform(fleet.platform_address, &fleet.documents);
        fleet.start_process(PLATFORM_PROCESS, Program::Platform, &arguments)?;
        for name in fleet.vm_names(|vm| matches!(vm.role, VmRole::Server { .. })) {
            fleet.start_vm(&name)?;
        }
        fleet.wait_all_listening().await?;
        Ok(fleet)
    }

    /// Starts all entries and waits until they are ready.
    ///
    /// # Errors
    ///
    /// The daemon has not been built, an entry exits, or one is not ready within `limit`.
    pub async fn start_entries(&mut self, limit: Duration) -> Result<(), Error> {
        let names = self.vm_names(|vm| matches!(vm.role, VmRole::Entry { .. }));
        for name in &names {
            self.start_vm(name)?;
        }
        for name in &names {
            self.wait_ready(name, limit).await?;
        }
        Ok(())
    }

    /// Starts the process of a VM that is not running.
    ///
    /// # Errors
    ///
    /// There is no such VM, or its program has not been built or cannot be started.
    pub fn start_vm(&mut self, name: &str) -> Result<(), Error> {
        let vm = self.vm(name)?.clone();
        match &vm.role {
            VmRole::Entry { .. } => {
                let seeds = self.control_addresses();
                let arguments =
                    command_line::entry(&vm, self.platform_address, &seeds, &self.layout);
                self.start_process(name, Program::Daemon, &arguments.unwrap_or_default())
            }
            VmRole::Server { service, address } => {
                let index =
                    self.documents.vms.iter().take_while(|other| other.name != name).count();
                let seed = self.layout.server_seed + index as u64;
                let services = &self.layout.services;
                let service = services.iter().find(|candidate| candidate.name == *service);
                let service = service.ok_or_else(|| Error::UnknownVm(name.to_owned()))?;
                let arguments =
                    command_line::server(&vm, *address, service, seed, &self.journal_path(name));
                self.start_process(name, Program::Server, &arguments)
            }
        }
    }

    /// Waits until an entry reports that it is ready (`/readyz`).
    ///
    /// # Errors
    ///
    /// The entry exits, or is not ready within `limit`.
    pub async fn wait_ready(&mut self, name: &str, limit: Duration) -> Result<(), Error> {
        let address = self.control_address(name)?;
        let deadline = Instant::now() + limit;
        self.process(name)?.wait_listening(address, limit).await?;
        loop {
            let answer = fetch(address, "GET", "/readyz", "", CONTROL_TIMEOUT).await;
            if answer.is_ok_and(|response| response.status == StatusCode::OK) {
                return Ok(());
            }
            let process = self.process(name)?;
            if process.exit_status()?.is_some() {
                return Err(Error::Exited(name.to_owned(), process.log_tail()));
            }
            if Instant::now() >= deadline {
                return Err(Error::Timeout(format!("readiness of {name}"), limit));
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// The id of a VM's process, or of the platform's.
    ///
    /// # Errors
    ///
    /// The process is not running.
    pub fn process_id(&mut self, name: &str) -> Result<u32, Error> {
        Ok(self.process(name)?.id())
    }

    /// Sends a signal to a VM's process, or to the platform's.
    ///
    /// # Errors
    ///
    /// The process is not running.
    pub fn signal(&mut self, name: &str, signal: Signal) -> Result<(), Error> {
        self.process(name)?.signal(signal)
    }

    /// Kills a process (SIGKILL).
    ///
    /// # Errors
    ///
    /// The process is not running.
    pub fn kill(&mut self, name: &str) -> Result<(), Error> {
        self.process(name)?;
        self.processes.remove(name);
        Ok(())
    }

    /// Suspends a process (SIGSTOP) and waits until it has stopped.
    ///
    /// # Errors
    ///
    /// The process is not running, or does not stop within 5 s.
    pub async fn suspend(&mut self, name: &str) -> Result<(), Error> {
        self.process(name)?.suspend().await
    }

    /// Resumes a suspended process (SIGCONT).
    ///
    /// # Errors
    ///
    /// The process is not running.
    pub fn resume(&mut self, name: &str) -> Result<(), Error> {
        self.signal(name, Signal::CONT)
    }

    /// Asks a process to exit (SIGTERM).
    ///
    /// # Errors
    ///
    /// The process is not running.
    pub fn terminate(&mut self, name: &str) -> Result<(), Error> {
        self.signal(name, Signal::TERM)
    }

    /// Waits until a process exits.
    ///
    /// # Errors
    ///
    /// The process is not running, or does not exit within `limit`.
    pub async fn wait_exit(&mut self, name: &str, limit: Duration) -> Result<ExitStatus, Error> {
        let status = self.process(name)?.wait_exit(limit).await?;
        self.processes.remove(name);
        Ok(status)
    }

    /// Sends a POST request to a server or to the platform, such as a command to inject a fault.
    ///
    /// # Errors
    ///
    /// There is no such VM, or no complete answer arrives within 5 s.
    pub async fn post_control(&self, name: &str, target: &str) -> Result<FullResponse, Error> {
        let address = if name == PLATFORM_PROCESS {
            self.platform_address
        } else {
            self.request_address(name)?
        };
        Ok(fetch(address, "POST", target, "", CONTROL_TIMEOUT).await?)
    }

    /// Sets the state of a VM and publishes the VM list.
    ///
    /// # Errors
    ///
    /// There is no such VM, or the list cannot be written.
    pub fn set_vm_state(&mut self, name: &str, state: VmState) -> Result<(), Error> {
        let vms = &mut self.documents.vms;
        let vm = vms.iter_mut().find(|vm| vm.name == name);
        vm.ok_or_else(|| Error::UnknownVm(name.to_owned()))?.state = state;
        self.documents.publish_vm_list()?;
        Ok(())
    }

    /// The ledgers of all servers, read from their journals. They include the requests of processes
    /// that have exited.
    ///
    /// # Errors
    ///
    /// A journal cannot be read.
    pub fn ledgers(&self) -> Result<Vec<ServerLedger>, Error> {
        let mut ledgers = Vec::new();
        for name in self.vm_names(|vm| matches!(vm.role, VmRole::Server { .. })) {
            let path = self.journal_path(&name);
            let read = Journal::read(&path);
            let mut ledger = ServerLedger::from(&read.context(format!("{}", path.display()))?);
            ledger.counts.name = name;
            ledgers.push(ledger);
        }
        Ok(ledgers)
    }

    /// Path of a server's journal.
    fn journal_path(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.journal"))
    }

    /// The address on which the platform listens.
    pub fn platform_address(&self) -> SocketAddr {
        self.platform_address
    }

    /// Folder with the documents, the logs and the journals.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Adds the VMs and services of the layout to the documents and allocates their addresses.
    fn add_vms(&mut self) -> Result<(), Error> {
        self.documents.defaults_toml.clone_from(&self.layout.defaults_toml);
        for number in 1..=self.layout.entry_count {
            let address = LoopbackAddress::allocate()?;
            let role = VmRole::Entry {
                caller: address.with_port(REQUEST_PORT),
                control: address.with_port(CONTROL_PORT),
            };
            self.add_vm(format!("e{number}"), role, number, address);
        }
        for service in self.layout.services.clone() {
            self.documents.service_names.push(service.name.clone());
            for number in 1..=service.server_count {
                let address = LoopbackAddress::allocate()?;
                let role = VmRole::Server {
                    service: service.name.clone(),
                    address: address.with_port(REQUEST_PORT),
                };
                self.add_vm(format!("{}-{number}", service.name), role, number, address);
            }
        }
        Ok(())
    }

    /// Adds a VM to the VM list and assigns it to a failure domain by its number.
    fn add_vm(&mut self, name: String, role: VmRole, number: usize, address: LoopbackAddress) {
        let domain = format!("d{}", (number - 1) % self.layout.domain_count.max(1) + 1);
        let vm = Vm { name, role, domain, region: REGION.to_owned(), state: VmState::Live };
        self.documents.vms.push(vm);
        self._allocated_addresses.push(address);
    }

    fn start_process(
        &mut self,
        name: &str,
        program: Program,
        arguments: &[String],
    ) -> Result<(), Error> {
        let path = self.programs.path(program)?;
        let log = self.folder.join(format!("{name}.log"));
        let process = Process::start(name, &path, arguments, &log)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    /// Waits until all processes accept connections.
    async fn wait_all_listening(&mut self) -> Result<(), Error> {
        let names: Vec<String> = self.processes.keys().cloned().collect();
        for name in names {
            let address = if name == PLATFORM_PROCESS {
                self.platform_address
            } else {
                self.request_address(&name)?
            };
            self.process(&name)?.wait_listening(address, START_TIMEOUT).await?;
        }
        Ok(())
    }

    fn process(&mut self, name: &str) -> Result<&mut Process, Error> {
        self.processes.get_mut(name).ok_or_else(|| Error::NotRunning(name.to_owned()))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        if std::thread::panicking() {
            eprintln!("the logs of the fleet are in {}", self.folder.display());
        } else {
            // A folder that cannot be removed is left in the system's temporary folder.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Creates an empty temporary folder.
fn create_folder() -> Result<PathBuf, Error> {
    let number = FOLDER_COUNT.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("jackdawpin-{}-{number}", std::process::id()));
    // An earlier process of the same id may have left its folder.
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).context(format!("creating {}", folder.display()))?;
    Ok(folder)
}
