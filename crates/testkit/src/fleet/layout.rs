/// A service and how many servers it has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Number of servers.
    pub server_count: usize,
    /// Further flags of the servers, such as `--work-us`.
    pub server_flags: Vec<String>,
}

/// The size of a fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Layout {
    /// Number of failure domains.
    pub domain_count: usize,
    /// Number of entries.
    pub entry_count: usize,
    /// The services.
    pub services: Vec<Service>,
    /// The `[defaults]` of the configuration: lines of TOML.
    pub defaults_toml: String,
    /// Further flags of the entries.
    pub entry_flags: Vec<String>,
    /// Seed of the servers; each one adds its number.
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
