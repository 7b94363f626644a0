//! The adapters of this program, joined for the decisions.

use std::sync::Arc;

use crate::clock::Boot;
use crate::clock::Random;
use crate::exchange::Client;
use crate::peer::Peer;
use crate::reader::Reader;
use crate::traffic::Traffic;
use crate::upstream::Upstream;
use jackdawpin_core::port::Ports;

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
    /// Creates the adapters. The bytes of connections to servers and to other entries are counted
    /// apart, because only the latter carry control messages.
    pub fn new(servers: Traffic, peers: Traffic) -> Self {
        Self {
            clock: Boot,
            random: Random,
            upstream: Upstream::new(Arc::new(Client::new(servers)), Boot),
            peer: Peer::new(Arc::new(Client::new(peers)), Boot),
            reader: Reader,
        }
    }
}

impl Ports for Adapters {
    type Clock = Boot;
    type Random = Random;
    type Upstream = Upstream<Boot>;
    type Peer = Peer<Boot>;
    type Reader = Reader;

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

    fn reader(&self) -> &Reader {
        &self.reader
    }
}
