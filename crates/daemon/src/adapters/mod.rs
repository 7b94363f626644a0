//! The adapters of the daemon, combined as the ports that the decisions in `jackdawpin-core` use.

use std::sync::Arc;

use crate::clock::BootClock;
use crate::clock::Random;
use crate::exchange::Client;
use crate::parser::Parser;
use crate::peer::Peer;
use crate::upstream::Upstream;
use jackdawpin_core::holder::port::Ports;

/// The adapters behind all ports.
#[derive(Debug)]
pub struct Adapters {
    clock: BootClock,
    random: Random,
    upstream: Upstream<BootClock>,
    peer: Peer<BootClock>,
    parser: Parser,
}

impl Adapters {
    /// Creates the adapters. `servers` sends attempts and probes to servers, `forwards` sends
    /// attempts to other entries, and `control` all other messages to other entries.
    pub fn new(servers: Client, forwards: Client, control: Client) -> Self {
        Self {
            clock: BootClock,
            random: Random,
            upstream: Upstream::new(Arc::new(servers), BootClock),
            peer: Peer::new(Arc::new(forwards), Arc::new(control), BootClock),
            parser: Parser,
        }
    }
}

impl Ports for Adapters {
    type Clock = BootClock;
    type Random = Random;
    type Upstream = Upstream<BootClock>;
    type Peer = Peer<BootClock>;
    type Parser = Parser;

    fn clock(&self) -> &BootClock {
        &self.clock
    }

    fn random(&self) -> &Random {
        &self.random
    }

    fn upstream(&self) -> &Upstream<BootClock> {
        &self.upstream
    }

    fn peer(&self) -> &Peer<BootClock> {
        &self.peer
    }

    fn parser(&self) -> &Parser {
        &self.parser
    }
}
