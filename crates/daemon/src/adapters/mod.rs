//! The adapters of this program, joined for the decisions.

use std::sync::Arc;

use crate::clock::Boot;
use crate::clock::Random;
use crate::exchange::Client;
use crate::peer::Peer;
use crate::reader::Reader;
use crate::upstream::Upstream;
use jackdawpin_core::holder::port::Ports;

/// The adapters.
#[derive(Debug)]
pub struct Adapters {
    clock: Boot,
    random: Random,
    upstream: Upstream<Boot>,
    peer: Peer<Boot>,
    reader: Reader,
}

impl Adapters {
    /// Creates the adapters, which use `servers` for attempts at servers, `forwards` for attempts at
    /// other entries, and `control` for all other messages to them.
    pub fn new(servers: Client, forwards: Client, control: Client) -> Self {
        Self {
            clock: Boot,
            random: Random,
            upstream: Upstream::new(Arc::new(servers), Boot),
            peer: Peer::new(Arc::new(forwards), Arc::new(control), Boot),
            reader: Reader,
        }
    }
}

impl Ports for Adapters {
    type Clock = Boot;
    type Random = Random;
    type Upstream = Upstream<Boot>;
    type Peer = Peer<Boot>;
    type Parser = Reader;

    fn clock(&self) -> &Boot {
        &self.clock
    }

    fn random(&self) -> &Random {
        &self.random
    }

    fn upstream(&self) -> &Upstream<Boot> {
        &self.upstream
    }

    fn peer(&self) -> &Peer<Boot> {
        &self.peer
    }

    fn parser(&self) -> &Reader {
        &self.reader
    }
}
