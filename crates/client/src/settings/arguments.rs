use gumdrop::Options;

use super::Error;

/// The parsed arguments, not yet checked. Options are accepted before and after the command.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// The command and its arguments.
    #[options(free)]
    pub words: Vec<String>,
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Print the version.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// Addresses of entries.
    #[options(
        no_short,
        meta = "HOST:PORT,...",
        help = "control addresses to ask first; others are learned (JACKDAWPIN_ENTRIES)"
    )]
    pub entries: Vec<String>,
    /// Timeout of one request to one entry, in milliseconds.
    #[options(no_short, meta = "N", help = "time for one question to one entry (2000)")]
    pub timeout_ms: Option<u64>,
    /// Print JSON.
    #[options(no_short, help = "print JSON; one object per line where output goes on")]
    pub json: bool,
    /// The document is a VM list.
    #[options(no_short, help = "check: the file is a VM list")]
    pub vms: bool,
    /// The VM list that must have the names in the configuration.
    #[options(no_short, meta = "VMLIST", help = "check: warn about names that this VM list lacks")]
    pub against: Option<String>,
    /// Kinds of events.
    #[options(no_short, meta = "KIND,...", help = "timeline: only events of these kinds")]
    pub kind: Vec<String>,
    /// Service of events.
    #[options(no_short, meta = "NAME", help = "timeline: only events about this service")]
    pub service: Option<String>,
    /// VM of events.
    #[options(no_short, meta = "NAME", help = "timeline: only events on or about this VM")]
    pub vm: Option<String>,
    /// Start of the selected part of the timeline.
    #[options(no_short, meta = "TIME", help = "timeline: only later events; 10m or a UTC time")]
    pub since: Option<String>,
    /// Continue with new events.
    #[options(no_short, help = "timeline: go on with new events")]
    pub follow: bool,
    /// Stop after the first output.
    #[options(no_short, help = "top: print once")]
    pub once: bool,
}

impl Arguments {
    /// Checks that each given option belongs to the command.
    pub(super) fn check_options(&self, command: &str) -> Result<(), Error> {
        let options = [
            ("vms", "check", self.vms),
            ("against", "check", self.against.is_some()),
            ("kind", "timeline", !self.kind.is_empty()),
            ("service", "timeline", self.service.is_some()),
            ("vm", "timeline", self.vm.is_some()),
            ("since", "timeline", self.since.is_some()),
            ("follow", "timeline", self.follow),
            ("once", "top", self.once),
        ];
        match options
            .iter()
            .find(|(_, allowed_command, given)| *given && *allowed_command != command)
        {
            Some((option, _, _)) => Err(Error::MisplacedOption(option, command.to_owned())),
            None => Ok(()),
        }
    }
}
