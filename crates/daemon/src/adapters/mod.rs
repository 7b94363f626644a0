//! The adapters of this program, joined for the decisions.

use std::sync::Arc;

use crate::clock::BootClock;
use crate::clock::Random;
use crate::exchange::Client;
use crate::peer::Peer;
use crate::reader::Reader;
use crate::upstream::Upstream;
use jackdawpin_core::holder::port::Ports;

/// The adapters.
#[derive(Debug)]
pub struct Adapters {
    clock: BootClock,
    random: Random,
    upstream: Upstream<BootClock>,
    peer: Peer<BootClock>,
    reader: Reader,
}

impl Adapters {
    /// Creates the adapters, which use `servers` for attempts at servers, `forwards` for attempts at
    /// other entries, and `control` for all other messages to them.
    pub fn new(servers: Client, forwards: Client, control: Client) -> Self {
        Self {
            clock: BootClock,
            random: Random,
            upstream: Upstream::new(Arc::new(servers), BootClock),
            peer: Peer::new(Arc::new(forwards), Arc::new(control), BootClock),
            reader: Reader,
        }
    }
}

impl Ports for Adapters {
    type Clock = BootClock;
    type Random = Random;
    type Upstream = Upstream<BootClock>;
    type Peer = Peer<BootClock>;
    type Parser = Reader;

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

    fn parser(&self) -> &Reader {
        &self.reader
    }
}
