use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use parking_lot::Mutex;

use super::Error;

/// Number of addresses that one process can allocate at once: 127.A.B.1 to 127.A.B.254.
const ADDRESSES_PER_PROCESS: usize = 254;
/// Number of values of A: 2 to 253. 127.0 and 127.1 are left to other programs.
const FIRST_OCTET_VALUES: u32 = 252;

/// The addresses that this process has allocated.
static ALLOCATED: Mutex<Allocations> =
    Mutex::new(Allocations { used: [false; ADDRESSES_PER_PROCESS], next: 0 });

struct Allocations {
    /// Whether the address with this index is in use.
    used: [bool; ADDRESSES_PER_PROCESS],
    /// Index at which the next search for a free address starts.
    next: usize,
}

/// A loopback address that is reserved for this value until it is dropped.
///
/// A and B of 127.A.B.C are derived from the process id and C from a counter, so that tests in
/// different processes and in different threads of one process get different addresses. Processes
/// whose ids are a multiple of 64,008 apart would share A and B.
#[derive(Debug)]
pub struct LoopbackAddress {
    index: usize,
    ip: Ipv4Addr,
}

impl LoopbackAddress {
    /// Reserves the next free address.
    ///
    /// # Errors
    ///
    /// All addresses of this process are in use.
    pub fn allocate() -> Result<Self, Error> {
        let mut allocated = ALLOCATED.lock();
        for _ in 0..ADDRESSES_PER_PROCESS {
            let index = allocated.next;
            allocated.next = (index + 1) % ADDRESSES_PER_PROCESS;
            if !allocated.used[index] {
                allocated.used[index] = true;
                return Ok(Self { index, ip: derive_ip(std::process::id(), index) });
            }
        }
        Err(Error::AddressesExhausted)
    }

    /// This address with a port.
    pub fn with_port(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }
}

impl Drop for LoopbackAddress {
    fn drop(&mut self) {
        ALLOCATED.lock().used[self.index] = false;
    }
}

/// The address 127.A.B.C of the given index in a process.
fn derive_ip(pid: u32, index: usize) -> Ipv4Addr {
    let per_process = ADDRESSES_PER_PROCESS as u32;
    let octet = |number: u32| u8::try_from(number).unwrap_or(u8::MAX);
    let a = octet(2 + pid / per_process % FIRST_OCTET_VALUES);
    let b = octet(1 + pid % per_process);
    let c = octet(1 + index as u32);
    Ipv4Addr::new(127, a, b, c)
}
