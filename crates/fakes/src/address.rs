//! Addresses for the processes of a test.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// First port that is given out.
const FIRST: u16 = 10_000;
/// Ports that are given out in turn. All are below the range from which the
/// system takes the ports of outgoing connections, so that a connection of
/// another test can't take one before it is used.
const PORTS: u16 = 20_000;

/// Returns a loopback address that nothing listens on, another one each time.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Test programs that run at once begin at different ports.
    let spread = (std::process::id() % 1_000) as u16 * 20;
    loop {
        let n = spread.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST + n % PORTS));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
