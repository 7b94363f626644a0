/// A service and its servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Number of servers.
    pub server_count: usize,
    /// Additional flags of the servers, such as `--work-us`.
    pub server_flags: Vec<String>,
}

/// The number of VMs of a fleet, and the settings of its processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Layout {
    /// Number of failure domains.
    pub domain_count: usize,
    /// Number of entries.
    pub entry_count: usize,
    /// The services and their servers.
    pub services: Vec<Service>,
    /// Content of the configuration's `[defaults]` section, as TOML.
    pub defaults_toml: String,
    /// Additional flags of the entries.
    pub entry_flags: Vec<String>,
    /// Seed of the servers' random numbers; a server's own seed is this plus its index in the VM
    /// list.
    pub server_seed: u64,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            domain_count: 2,
            entry_count: 2,
            services: vec![Service {
                name: "lookup".to_owned(),
                server_count: 2,
                server_flags: Vec::new(),
            }],
            defaults_toml: String::new(),
            entry_flags: Vec::new(),
            server_seed: 1,
        }
    }
}
