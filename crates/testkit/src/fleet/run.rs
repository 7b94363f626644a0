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
use super::launch;
use crate::caller::ServerLedger;
use crate::http::Whole;
use crate::http::fetch;
use crate::server::Journal;

/// Name of the only region.
const REGION: &str = "r1";
/// Name of the platform's process.
const PLATFORM: &str = "platform";
/// Time for a stand-in to listen after its start.
const START_LIMIT: Duration = Duration::from_secs(10);
/// Time for an answer to a control request.
const CONTROL_LIMIT: Duration = Duration::from_secs(5);
/// How often an entry is asked whether it is ready.
const READY_POLL: Duration = Duration::from_millis(20);

/// Numbers the temporary folders of this process.
static FOLDERS: AtomicU32 = AtomicU32::new(0);

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    layout: Layout,
    programs: Programs,
    folder: PathBuf,
    platform_address: SocketAddr,
    processes: BTreeMap<String, Process>,
    // The addresses stay taken for as long as the fleet lives.
    _allocated_addresses: Vec<LoopbackAddress>,
    /// The documents; [`Documents::publish_config`] and [`Documents::publish_vm_list`] put changes into effect.
    pub documents: Documents,
}

impl Fleet {
    /// Writes the documents and starts the platform and the servers.
    ///
    /// # Errors
    ///
    /// A program is missing or does not start.
    pub async fn start(layout: Layout) -> Result<Self, Error> {
        let programs = Programs::beside_current_exe()?;
        let folder = new_folder()?;
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
        fleet.plan()?;
        fleet.documents.publish_config()?;
        fleet.documents.publish_vm_list()?;
        let arguments = launch::platform(fleet.platform_address, &fleet.documents);
        fleet.launch(PLATFORM, Program::Platform, &arguments)?;
        for name in fleet.vm_names(|vm| matches!(vm.role, VmRole::Server { .. })) {
            fleet.start_vm(&name)?;
        }
        fleet.listening().await?;
        Ok(fleet)
    }

    /// Starts all entries and waits until they are ready.
    ///
    /// # Errors
    ///
    /// The daemon is missing, ends, or is not ready within `limit`.
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
    /// There is no such VM, or its program is missing.
    pub fn start_vm(&mut self, name: &str) -> Result<(), Error> {
        let vm = self.vm(name)?.clone();
        match &vm.role {
            VmRole::Entry { .. } => {
                let seeds = self.control_addresses();
                let arguments = launch::entry(&vm, self.platform_address, &seeds, &self.layout);
                self.launch(name, Program::Daemon, &arguments.unwrap_or_default())
            }
            VmRole::Server { service, address } => {
                let number =
                    self.documents.vms.iter().take_while(|other| other.name != name).count();
                let seed = self.layout.server_seed + number as u64;
                let services = &self.layout.services;
                let service = services.iter().find(|found| found.name == *service);
                let service = service.ok_or_else(|| Error::UnknownVm(name.to_owned()))?;
                let arguments = launch::server(&vm, *address, service, seed, &self.journal(name));
                self.launch(name, Program::Server, &arguments)
            }
        }
    }

    /// Waits until an entry says that it is ready.
    ///
    /// # Errors
    ///
    /// It ends, or does not say so within `limit`.
    pub async fn wait_ready(&mut self, name: &str, limit: Duration) -> Result<(), Error> {
        let address = self.control_address(name)?;
        let end = Instant::now() + limit;
        self.process(name)?.wait_listening(address, limit).await?;
        loop {
            let asked = fetch(address, "GET", "/readyz", "", CONTROL_LIMIT).await;
            if asked.is_ok_and(|whole| whole.status == StatusCode::OK) {
                return Ok(());
            }
            let process = self.process(name)?;
            if process.exit_status()?.is_some() {
                return Err(Error::Exited(name.to_owned(), process.log_tail()));
            }
            if Instant::now() >= end {
                return Err(Error::Timeout(format!("readiness of {name}"), limit));
            }
            tokio::time::sleep(READY_POLL).await;
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

    /// Ends a process at once (SIGKILL).
    ///
    /// # Errors
    ///
    /// The process is not running.
    pub fn kill(&mut self, name: &str) -> Result<(), Error> {
        self.process(name)?;
        self.processes.remove(name);
        Ok(())
    }

    /// Pauses a process (SIGSTOP) and waits until it has stopped.
    ///
    /// # Errors
    ///
    /// The process is not running.
    pub async fn suspend(&mut self, name: &str) -> Result<(), Error> {
        self.process(name)?.suspend().await
    }

    /// Lets a paused process go on (SIGCONT).
    ///
    /// # Errors
    ///
    /// The process is not running.
    pub fn resume(&mut self, name: &str) -> Result<(), Error> {
        self.signal(name, Signal::CONT)
    }

    /// Asks a process to stop (SIGTERM).
    ///
    /// # Errors
    ///
    /// The process is not running.
    pub fn terminate(&mut self, name: &str) -> Result<(), Error> {
        self.signal(name, Signal::TERM)
    }

    /// Waits for the end of a process.
    ///
    /// # Errors
    ///
    /// It does not end within `limit`.
    pub async fn wait_exit(&mut self, name: &str, limit: Duration) -> Result<ExitStatus, Error> {
        let status = self.process(name)?.wait_exit(limit).await?;
        self.processes.remove(name);
        Ok(status)
    }

    /// Sends a request for the control side of a server or of the platform.
    ///
    /// # Errors
    ///
    /// No whole answer within 5 s.
    pub async fn post_control(&self, name: &str, target: &str) -> Result<Whole, Error> {
        let address =
            if name == PLATFORM { self.platform_address } else { self.request_address(name)? };
        Ok(fetch(address, "POST", target, "", CONTROL_LIMIT).await?)
    }

    /// What the VM list says about a VM from now on.
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

    /// What the servers ran according to their journals, processes that have ended included.
    ///
    /// # Errors
    ///
    /// A journal cannot be read.
    pub fn ledgers(&self) -> Result<Vec<ServerLedger>, Error> {
        let mut ledgers = Vec::new();
        for name in self.vm_names(|vm| matches!(vm.role, VmRole::Server { .. })) {
            let journal = self.journal(&name);
            let read = Journal::read(&journal);
            let mut ledger = ServerLedger::from(&read.context(format!("{}", journal.display()))?);
            ledger.counts.name = name;
            ledgers.push(ledger);
        }
        Ok(ledgers)
    }

    fn journal(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.journal"))
    }

    /// Where the platform listens.
    pub fn platform_address(&self) -> SocketAddr {
        self.platform_address
    }

    /// Folder with the documents and the logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Takes addresses and fills the documents.
    fn plan(&mut self) -> Result<(), Error> {
        self.documents.defaults_toml.clone_from(&self.layout.defaults_toml);
        for number in 1..=self.layout.entry_count {
            let address = LoopbackAddress::allocate()?;
            let role = VmRole::Entry {
                caller: address.with_port(REQUEST_PORT),
                control: address.with_port(CONTROL_PORT),
            };
            self.add(format!("e{number}"), role, number, address);
        }
        for service in self.layout.services.clone() {
            self.documents.service_names.push(service.name.clone());
            for number in 1..=service.server_count {
                let address = LoopbackAddress::allocate()?;
                let role = VmRole::Server {
                    service: service.name.clone(),
                    address: address.with_port(REQUEST_PORT),
                };
                self.add(format!("{}-{number}", service.name), role, number, address);
            }
        }
        Ok(())
    }

    fn add(&mut self, name: String, role: VmRole, number: usize, address: LoopbackAddress) {
        let domain = format!("d{}", (number - 1) % self.layout.domain_count.max(1) + 1);
        let vm = Vm { name, role, domain, region: REGION.to_owned(), state: VmState::Live };
        self.documents.vms.push(vm);
        self._allocated_addresses.push(address);
    }

    fn launch(&mut self, name: &str, program: Program, arguments: &[String]) -> Result<(), Error> {
        let path = self.programs.path(program)?;
        let log = self.folder.join(format!("{name}.log"));
        let process = Process::start(name, &path, arguments, &log)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    /// Waits until all processes listen.
    async fn listening(&mut self) -> Result<(), Error> {
        let names: Vec<String> = self.processes.keys().cloned().collect();
        for name in names {
            let address =
                if name == PLATFORM { self.platform_address } else { self.request_address(&name)? };
            self.process(&name)?.wait_listening(address, START_LIMIT).await?;
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
            // A folder that stays behind in the temporary folder does no harm.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn new_folder() -> Result<PathBuf, Error> {
    let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("jackdawpin-{}-{number}", std::process::id()));
    // Left over from an earlier process of the same id.
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).context(format!("creating {}", folder.display()))?;
    Ok(folder)
}
