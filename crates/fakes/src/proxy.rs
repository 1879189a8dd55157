//! A TCP proxy in front of each daemon's peer address, and of routers' addresses
//! for callers. It can hold bytes back without closing the connection, as a network
//! that drops every packet does, delay them, or close connections.

#![expect(
    clippy::unwrap_used,
    reason = "a broken proxy fails the test that uses it"
)]

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

/// Host name under which all callers are known to the proxy.
pub const CALLERS: &str = "callers";
/// Interval at which a blocked connection checks whether it may pass bytes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Offset of the name in a hello: after the length of the frame and two fields.
const HELLO_NAME_AT: usize = 8;
/// Tag of the name in a hello: field 3, with a length.
const NAME_TAG: u8 = 0x1a;

#[derive(Default)]
struct State {
    /// Hosts whose connections, open and new, pass no bytes.
    isolated: HashSet<String>,
    /// Numbers of connections that pass no bytes any more.
    frozen: HashSet<u64>,
    /// Numbers of connections that are to be closed.
    reset: HashSet<u64>,
    /// Directions that pass no bytes: sending host, receiving host.
    cut: HashSet<(String, String)>,
    /// Added delay of bytes to and from a host.
    delays: HashMap<String, Duration>,
    /// Open connections: number, connecting host, accepting host.
    open: Vec<(u64, String, String)>,
    last_number: u64,
}

/// The proxies of one fleet. Hosts have the names of their daemons, such as `c0`.
#[derive(Clone, Default)]
pub struct Network(Arc<Mutex<State>>);

impl Network {
    /// Proxies connections of peers to `host`, from `listen` to `target`.
    pub fn proxy_peers(&self, host: &str, listen: std::net::TcpListener, target: SocketAddr) {
        self.proxy_from(None, host, listen, target);
    }

    /// Proxies connections of callers to `host`, from `listen` to `target`. Callers
    /// send no host name, so all of them are [`CALLERS`].
    pub fn proxy_callers(&self, host: &str, listen: std::net::TcpListener, target: SocketAddr) {
        self.proxy_from(Some(CALLERS), host, listen, target);
    }

    /// Proxies connections from the host `from`. Without it, the name of the
    /// connecting host is read from the session's hello.
    fn proxy_from(
        &self,
        from: Option<&'static str>,
        host: &str,
        listen: std::net::TcpListener,
        target: SocketAddr,
    ) {
        listen.set_nonblocking(true).unwrap();
        let listen = TcpListener::from_std(listen).unwrap();
        let (net, host) = (self.clone(), host.to_owned());
        tokio::spawn(async move {
            loop {
                let (stream, _) = listen.accept().await.unwrap();
                tokio::spawn(
                    net.clone()
                        .run_connection(from, host.clone(), stream, target),
                );
            }
        });
    }

    async fn run_connection(
        self,
        from: Option<&'static str>,
        host: String,
        mut inbound: TcpStream,
        target: SocketAddr,
    ) {
        let mut first = vec![0; 4096];
        let Ok(n) = inbound.read(&mut first).await else {
            return;
        };
        first.truncate(n);
        let Some(from) = from.map(str::to_owned).or_else(|| hello_sender(&first)) else {
            return;
        };
        let number = {
            let mut state = self.0.lock().unwrap();
            state.last_number += 1;
            let number = state.last_number;
            state.open.push((number, from.clone(), host.clone()));
            number
        };
        let direction = [from, host];
        let reverse = [direction[1].clone(), direction[0].clone()];
        if !self.wait_until_open(number, &direction).await {
            return;
        }
        if let Ok(mut outbound) = TcpStream::connect(target).await
            && outbound.write_all(&first).await.is_ok()
        {
            inbound.set_nodelay(true).unwrap();
            outbound.set_nodelay(true).unwrap();
            let (in_read, in_write) = inbound.into_split();
            let (out_read, out_write) = outbound.into_split();
            tokio::join!(
                self.copy(number, &direction, in_read, out_write),
                self.copy(number, &reverse, out_read, in_write),
            );
        }
        self.0.lock().unwrap().open.retain(|(n, ..)| *n != number);
    }

    /// Copies one direction until the stream ends or the connection is reset.
    async fn copy(
        &self,
        number: u64,
        direction: &[String; 2],
        mut read: OwnedReadHalf,
        mut write: OwnedWriteHalf,
    ) {
        let mut buf = vec![0; 16 * 1024];
        loop {
            let n = tokio::select! {
                n = read.read(&mut buf) => n.unwrap_or(0),
                () = self.wait_for_reset(number) => return,
            };
            let delay = self.delay(direction);
            tokio::time::sleep(delay).await;
            let open = self.wait_until_open(number, direction).await;
            if !open || n == 0 || write.write_all(&buf[..n]).await.is_err() {
                return;
            }
        }
    }

    /// Waits until the connection is reset.
    async fn wait_for_reset(&self, number: u64) {
        while !self.0.lock().unwrap().reset.contains(&number) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the sum of both hosts' delays.
    fn delay(&self, direction: &[String; 2]) -> Duration {
        let state = self.0.lock().unwrap();
        direction
            .iter()
            .filter_map(|host| state.delays.get(host))
            .sum()
    }

    /// Waits until the connection may pass bytes from the first host to the second.
    /// Returns false if it was reset instead.
    async fn wait_until_open(&self, number: u64, direction: &[String; 2]) -> bool {
        loop {
            {
                let state = self.0.lock().unwrap();
                if state.reset.contains(&number) {
                    return false;
                }
                let [from, to] = direction;
                let blocked = direction.iter().any(|host| state.isolated.contains(host))
                    || state.cut.contains(&(from.clone(), to.clone()));
                if !blocked && !state.frozen.contains(&number) {
                    return true;
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Blocks all bytes from one host to another. The other direction still passes.
    pub fn cut(&self, from: &str, to: &str) {
        let mut state = self.0.lock().unwrap();
        state.cut.insert((from.to_owned(), to.to_owned()));
    }

    /// Unblocks the direction blocked by [`Self::cut`].
    pub fn restore(&self, from: &str, to: &str) {
        let mut state = self.0.lock().unwrap();
        state.cut.remove(&(from.to_owned(), to.to_owned()));
    }

    /// Delays all bytes from and to a host. A zero delay removes the delay.
    pub fn set_delay(&self, host: &str, delay: Duration) {
        let mut state = self.0.lock().unwrap();
        match delay.is_zero() {
            true => drop(state.delays.remove(host)),
            false => drop(state.delays.insert(host.to_owned(), delay)),
        }
    }

    /// Closes the open connections from and to a host. New ones work.
    pub fn reset_open(&self, host: &str) {
        let mut state = self.0.lock().unwrap();
        let state = &mut *state;
        let matching = state.open.iter().filter(|(_, f, t)| f == host || t == host);
        state.reset.extend(matching.map(|(number, ..)| *number));
    }

    /// Blocks all bytes from and to a host without closing connections.
    pub fn isolate(&self, host: &str) {
        self.0.lock().unwrap().isolated.insert(host.to_owned());
    }

    /// Ends the isolation. Bytes held back are delivered now, as TCP would retransmit
    /// lost packets.
    pub fn rejoin(&self, host: &str) {
        self.0.lock().unwrap().isolated.remove(host);
    }

    /// Closes the open connections between two hosts. New ones work.
    pub fn reset_between(&self, a: &str, b: &str) {
        let mut state = self.0.lock().unwrap();
        let state = &mut *state;
        let matching = state.open.iter().filter(|(_, f, t)| {
            (f.as_str(), t.as_str()) == (a, b) || (f.as_str(), t.as_str()) == (b, a)
        });
        state.reset.extend(matching.map(|(number, ..)| *number));
    }

    /// Blocks the matching open connections for good and returns how many they are.
    /// New connections work.
    pub fn freeze_open(&self, matches: impl Fn(&str, &str) -> bool) -> usize {
        let mut state = self.0.lock().unwrap();
        let state = &mut *state;
        let matching = state.open.iter().filter(|(_, from, to)| matches(from, to));
        let numbers: Vec<u64> = matching.map(|(number, ..)| *number).collect();
        state.frozen.extend(&numbers);
        numbers.len()
    }
}

/// Returns the name of the connecting host: field 3 of the hello, which is the first
/// frame of a session. The two protocol versions before it take one byte each.
fn hello_sender(first: &[u8]) -> Option<String> {
    let name = first.get(HELLO_NAME_AT..)?;
    let [NAME_TAG, len, name @ ..] = name else {
        return None;
    };
    String::from_utf8(name.get(..usize::from(*len))?.to_vec()).ok()
}
