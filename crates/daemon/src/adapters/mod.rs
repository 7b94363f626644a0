//! The adapters of this program, joined for the decisions.

use std::sync::Arc;

use crate::clock::Boot;
use crate::clock::Random;
use crate::exchange::Client;
use crate::listen::Budget;
use crate::peer::Peer;
use crate::reader::Reader;
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
    /// Creates the adapters. The bodies of answers count against `budget`; messages to peers go
    /// through `control`.
    pub fn new(budget: Budget, control: Arc<Client>) -> Self {
        let client = Arc::new(Client::new(budget));
        Self {
            clock: Boot,
            random: Random,
            upstream: Upstream::new(client.clone(), Boot),
            peer: Peer::new(client, control, Boot),
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
