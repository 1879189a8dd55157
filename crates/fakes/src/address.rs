//! Free loopback addresses for tests.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Mutex;

use anvilloft_types::lock;

/// Lowest port that is handed out.
const FIRST_PORT: u16 = 10_000;
/// Number of ports that are handed out in turn. All are below the system's
/// ephemeral range, so that an outgoing connection of another test can't take a
/// port before it is used.
const PORT_COUNT: u16 = 20_000;
/// Number of neighbouring ports that a process claims at once.
const BLOCK_LEN: u16 = 50;
const BLOCK_COUNT: u16 = PORT_COUNT / BLOCK_LEN;

/// Blocks of ports that this process has claimed, until it ends. It listens on the first
/// port of each, so that no other process hands out the rest of the block.
struct ClaimedPorts {
    blocks: Vec<TcpListener>,
    /// Ports that were not handed out yet, the next one last.
    free: Vec<u16>,
}

impl ClaimedPorts {
    /// Claims one more block, or hands out those of this process again if none is left.
    fn refill(&mut self) {
        // Test binaries that run concurrently start at different blocks.
        let first = (std::process::id() % u32::from(BLOCK_COUNT)) as u16;
        let claimed = (0..BLOCK_COUNT).find_map(|n| {
            let block = (first + n) % BLOCK_COUNT;
            TcpListener::bind(loopback(FIRST_PORT + block * BLOCK_LEN)).ok()
        });
        let fresh = claimed.is_some();
        self.blocks.extend(claimed);
        assert!(!self.blocks.is_empty(), "all ports for tests are claimed");
        let reused = if fresh { self.blocks.len() - 1 } else { 0 };
        for block in self.blocks[reused..].iter().rev() {
            let first = block.local_addr().map_or(0, |a| a.port());
            self.free.extend((first + 1..first + BLOCK_LEN).rev());
        }
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns a loopback address that nothing listens on, a different one on each call and
/// in each process.
pub fn free_address() -> SocketAddr {
    static CLAIMED: Mutex<ClaimedPorts> = Mutex::new(ClaimedPorts {
        blocks: Vec::new(),
        free: Vec::new(),
    });
    let mut claimed = lock(&CLAIMED);
    loop {
        match claimed.free.pop() {
            Some(port) if TcpListener::bind(loopback(port)).is_ok() => return loopback(port),
            Some(_) => {}
            None => claimed.refill(),
        }
    }
}
