/// A service and how many servers it has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Number of servers.
    pub servers: usize,
    /// Further flags of the servers, such as `--work-us`.
    pub flags: Vec<String>,
}

/// The size of a fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Layout {
    /// Number of failure domains.
    pub domains: usize,
    /// Number of entries.
    pub entries: usize,
    /// The services.
    pub services: Vec<Service>,
    /// The `[defaults]` of the configuration: lines of TOML.
    pub defaults: String,
    /// Further flags of the entries.
    pub entry_flags: Vec<String>,
    /// Seed of the servers; each one adds its number.
    pub seed: u64,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            domains: 2,
            entries: 2,
            services: vec![Service { name: "lookup".to_owned(), servers: 2, flags: Vec::new() }],
            defaults: String::new(),
            entry_flags: Vec::new(),
            seed: 1,
        }
    }
}
