//! The servers of one service.

use std::collections::HashMap;

use super::contact::Contact;
use super::curve::Curve;
use super::queue::Queue;
use super::server::ServerState;
use crate::name;

/// The servers of a service, and what their answers have shown about all of them.
#[derive(Debug, Default)]
pub(super) struct Pool {
    servers: Vec<ServerState>,
    /// Position of each server in `servers`. A request looks servers up by name several times.
    positions: HashMap<name::Vm, usize>,
    pub(super) contact: Contact,
    pub(super) curve: Curve,
    pub(super) queue: Queue,
}

impl Pool {
    /// The servers, in the order in which they were added.
    pub(super) fn servers(&self) -> &[ServerState] {
        &self.servers
    }

    pub(super) fn servers_mut(&mut self) -> &mut [ServerState] {
        &mut self.servers
    }

    pub(super) fn server(&mut self, name: &str) -> Option<&mut ServerState> {
        let position = *self.positions.get(name)?;
        self.servers.get_mut(position)
    }

    /// Adds a server whose name is not in the pool.
    pub(super) fn add(&mut self, state: ServerState) {
        self.positions.insert(state.server.name.clone(), self.servers.len());
        self.servers.push(state);
    }

    /// Removes a server and returns it; the others keep their order.
    pub(super) fn remove(&mut self, name: &name::Vm) -> Option<ServerState> {
        let removed = self.positions.remove(name)?;
        for position in self.positions.values_mut().filter(|position| **position > removed) {
            *position -= 1;
        }
        Some(self.servers.remove(removed))
    }
}
