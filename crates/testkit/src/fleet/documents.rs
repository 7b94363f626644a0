use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use quick_error::ResultExt;
use serde::Serialize;

use super::Error;

/// The role of a VM and the addresses that belong to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "role", rename_all = "lowercase")]
pub enum VmRole {
    /// The VM runs an entry.
    Entry {
        /// Address on which it accepts callers.
        caller: SocketAddr,
        /// Address on which it accepts peers and operators.
        control: SocketAddr,
    },
    /// The VM runs a server.
    Server {
        /// Name of the server's service.
        service: String,
        /// Address on which it accepts entries.
        address: SocketAddr,
    },
}

/// The state of a VM in the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is in service.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// A VM of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// Its role.
    #[serde(flatten)]
    pub role: VmRole,
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// Its state.
    pub state: VmState,
}

/// The VM list as it is written out.
#[derive(Serialize)]
struct VmList<'a> {
    version: u64,
    vms: &'a [Vm],
}

/// The configuration and the VM list, written as files that the platform's stand-in watches.
#[derive(Debug)]
pub struct Documents {
    folder: PathBuf,
    /// Revision of the configuration.
    pub config_revision: u64,
    /// Version of the VM list.
    pub vm_list_version: u64,
    /// Content of the configuration's `[defaults]` section, as TOML.
    pub defaults_toml: String,
    /// Names of the services.
    pub service_names: Vec<String>,
    /// Failure domains that are out of service, each with its reason.
    pub out_domains: Vec<(String, String)>,
    /// Additional sections of the configuration, such as exceptions, as TOML.
    pub extra_toml: String,
    /// The VMs of the VM list.
    pub vms: Vec<Vm>,
}

impl Documents {
    /// Empty documents, to be written to `folder`.
    pub fn new(folder: &Path) -> Self {
        Self {
            folder: folder.to_owned(),
            config_revision: 0,
            vm_list_version: 0,
            defaults_toml: String::new(),
            service_names: Vec::new(),
            out_domains: Vec::new(),
            extra_toml: String::new(),
            vms: Vec::new(),
        }
    }

    /// Path of the configuration's file.
    pub fn config_path(&self) -> PathBuf {
        self.folder.join("config.toml")
    }

    /// Path of the VM list's file.
    pub fn vm_list_path(&self) -> PathBuf {
        self.folder.join("vms.json")
    }

    /// Writes the configuration with the next revision and returns the revision.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn publish_config(&mut self) -> Result<u64, Error> {
        self.config_revision += 1;
        replace_file(&self.config_path(), &self.config_toml())?;
        Ok(self.config_revision)
    }

    /// Writes the VM list with the next version and returns the version.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn publish_vm_list(&mut self) -> Result<u64, Error> {
        self.vm_list_version += 1;
        let list = VmList { version: self.vm_list_version, vms: &self.vms };
        replace_file(&self.vm_list_path(), &serde_json::to_string_pretty(&list)?)?;
        Ok(self.vm_list_version)
    }

    /// The configuration as TOML, with the current revision.
    pub fn config_toml(&self) -> String {
        let mut text =
            format!("revision = {}\n\n[defaults]\n{}\n", self.config_revision, self.defaults_toml);
        // Writing to a string does not fail.
        for service in &self.service_names {
            let _ = write!(text, "\n[[service]]\nname = {service:?}\n");
        }
        for (domain, reason) in &self.out_domains {
            let _ = write!(text, "\n[[out]]\ndomain = {domain:?}\nreason = {reason:?}\n");
        }
        text.push_str(&self.extra_toml);
        text
    }
}

/// Replaces a file by a rename, so that a reader sees either the old or the new text in full.
fn replace_file(file: &Path, text: &str) -> Result<(), Error> {
    let temporary = file.with_extension("new");
    fs::write(&temporary, text).context(format!("writing {}", temporary.display()))?;
    fs::rename(&temporary, file).context(format!("replacing {}", file.display()))?;
    Ok(())
}
