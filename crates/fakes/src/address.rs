//! Free loopback addresses for tests.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// Lowest port that is handed out.
const FIRST_PORT: u16 = 10_000;
/// Number of ports that are handed out in turn. All are below the system's
/// ephemeral range, so that an outgoing connection of another test can't take a
/// port before it is used.
const PORT_COUNT: u16 = 20_000;

/// Returns a loopback address that nothing listens on, a different one on each
/// call.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Test binaries that run concurrently start at different ports.
    let offset = (std::process::id() % 1_000) as u16 * 20;
    loop {
        let n = offset.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + n % PORT_COUNT));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
