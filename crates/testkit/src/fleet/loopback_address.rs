use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use parking_lot::Mutex;

use super::Error;

/// Addresses that a process may use at once: 127.A.B.1 to 127.A.B.254.
const PER_PROCESS: usize = 254;
/// Values of A: 2 to 253. 127.0 and 127.1 stay free for others.
const NETWORKS: u32 = 252;

/// The addresses of this process that are in use, and where to look for the next one.
static TAKEN: Mutex<Taken> = Mutex::new(Taken { used: [false; PER_PROCESS], next: 0 });

struct Taken {
    used: [bool; PER_PROCESS],
    next: usize,
}

/// A loopback address that no other process of this kind uses at the same time.
///
/// A and B of 127.A.B.C come from the process id and C from a counter, so tests in different processes and in
/// different threads of one process do not meet. Process ids that are 64,008 apart would share a network.
#[derive(Debug)]
pub struct LoopbackAddress {
    index: usize,
    ip: Ipv4Addr,
}

impl LoopbackAddress {
    /// Takes the next free address.
    ///
    /// # Errors
    ///
    /// All addresses of this process are in use.
    pub fn allocate() -> Result<Self, Error> {
        let mut taken = TAKEN.lock();
        for _ in 0..PER_PROCESS {
            let index = taken.next;
            taken.next = (index + 1) % PER_PROCESS;
            if !taken.used[index] {
                taken.used[index] = true;
                return Ok(Self { index, ip: ip(std::process::id(), index) });
            }
        }
        Err(Error::AddressesExhausted)
    }

    /// The address with a port.
    pub fn with_port(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }
}

impl Drop for LoopbackAddress {
    fn drop(&mut self) {
        TAKEN.lock().used[self.index] = false;
    }
}

fn ip(pid: u32, index: usize) -> Ipv4Addr {
    let per_network = PER_PROCESS as u32;
    let part = |number: u32| u8::try_from(number).unwrap_or(u8::MAX);
    let a = part(2 + pid / per_network % NETWORKS);
    let b = part(1 + pid % per_network);
    let c = part(1 + index as u32);
    Ipv4Addr::new(127, a, b, c)
}
