//! A TCP proxy in front of each daemon's peer address, and of routers' addresses
//! for callers. It holds bytes back without closing anything, as a network that
//! drops every packet does, delays them, or resets connections.

#![expect(clippy::unwrap_used, reason = "test support")]

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

/// Name of all callers.
pub(crate) const CALLERS: &str = "callers";
/// Interval at which held bytes look whether they may pass.
const POLL: Duration = Duration::from_millis(5);

#[derive(Default)]
struct State {
    /// Hosts whose connections carry nothing, open ones and new ones.
    isolated: HashSet<String>,
    /// Connections with a lower number that match carry nothing for good.
    frozen: HashSet<u64>,
    /// Connections with a lower number that match are closed.
    reset: HashSet<u64>,
    /// Directions that carry nothing: sending host, receiving host.
    cut: HashSet<(String, String)>,
    /// Time by which bytes to and from a host come later.
    delays: HashMap<String, Duration>,
    /// Open connections: number, dialling host, dialled host.
    open: Vec<(u64, String, String)>,
    next: u64,
}

/// The proxies of one fleet. Hosts are named as their daemons.
#[derive(Clone, Default)]
pub(crate) struct Network(Arc<Mutex<State>>);

impl Network {
    /// Carries connections of peers to `host` from `listen` on to `target`.
    pub(crate) fn carry(&self, host: &str, listen: std::net::TcpListener, target: SocketAddr) {
        self.carry_from(None, host, listen, target);
    }

    /// Carries connections of callers, which say no name.
    pub(crate) fn carry_callers(
        &self,
        host: &str,
        listen: std::net::TcpListener,
        target: SocketAddr,
    ) {
        self.carry_from(Some(CALLERS), host, listen, target);
    }

    fn carry_from(
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
                tokio::spawn(net.clone().connection(from, host.clone(), stream, target));
            }
        });
    }

    async fn connection(
        self,
        from: Option<&'static str>,
        host: String,
        mut dialling: TcpStream,
        target: SocketAddr,
    ) {
        let mut first = vec![0; 4096];
        let Ok(n) = dialling.read(&mut first).await else {
            return;
        };
        first.truncate(n);
        let Some(from) = from.map(str::to_owned).or_else(|| sender(&first)) else {
            return;
        };
        let number = {
            let mut state = self.0.lock().unwrap();
            state.next += 1;
            let number = state.next;
            state.open.push((number, from.clone(), host.clone()));
            number
        };
        let ends = [from, host];
        let back = [ends[1].clone(), ends[0].clone()];
        if !self.pass(number, &ends).await {
            return;
        }
        if let Ok(mut dialled) = TcpStream::connect(target).await
            && dialled.write_all(&first).await.is_ok()
        {
            dialling.set_nodelay(true).unwrap();
            dialled.set_nodelay(true).unwrap();
            let (a_read, a_write) = dialling.into_split();
            let (b_read, b_write) = dialled.into_split();
            tokio::join!(
                self.pump(number, &ends, a_read, b_write),
                self.pump(number, &back, b_read, a_write),
            );
        }
        self.0.lock().unwrap().open.retain(|(n, ..)| *n != number);
    }

    /// Carries one direction, the end of the stream included.
    async fn pump(
        &self,
        number: u64,
        ends: &[String; 2],
        mut read: OwnedReadHalf,
        mut write: OwnedWriteHalf,
    ) {
        let mut buf = vec![0; 16 * 1024];
        loop {
            let n = tokio::select! {
                n = read.read(&mut buf) => n.unwrap_or(0),
                () = self.is_reset(number) => return,
            };
            let delay = self.delay(ends);
            tokio::time::sleep(delay).await;
            let open = self.pass(number, ends).await;
            if !open || n == 0 || write.write_all(&buf[..n]).await.is_err() {
                return;
            }
        }
    }

    async fn is_reset(&self, number: u64) {
        while !self.0.lock().unwrap().reset.contains(&number) {
            tokio::time::sleep(POLL).await;
        }
    }

    fn delay(&self, ends: &[String; 2]) -> Duration {
        let state = self.0.lock().unwrap();
        ends.iter().filter_map(|host| state.delays.get(host)).sum()
    }

    /// Waits until the connection may carry bytes from the first host to the
    /// second. Returns whether it is open.
    async fn pass(&self, number: u64, ends: &[String; 2]) -> bool {
        loop {
            {
                let state = self.0.lock().unwrap();
                if state.reset.contains(&number) {
                    return false;
                }
                let [from, to] = ends;
                let cut = ends.iter().any(|host| state.isolated.contains(host))
                    || state.cut.contains(&(from.clone(), to.clone()));
                if !cut && !state.frozen.contains(&number) {
                    return true;
                }
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Stops all bytes from one host to another; those of the other direction
    /// pass.
    pub(crate) fn cut(&self, from: &str, to: &str) {
        let mut state = self.0.lock().unwrap();
        state.cut.insert((from.to_owned(), to.to_owned()));
    }

    /// Lets bytes from one host to another pass again.
    pub(crate) fn mend(&self, from: &str, to: &str) {
        let mut state = self.0.lock().unwrap();
        state.cut.remove(&(from.to_owned(), to.to_owned()));
    }

    /// Delays all bytes from and to a host; no time ends it.
    pub(crate) fn set_delay(&self, host: &str, delay: Duration) {
        let mut state = self.0.lock().unwrap();
        match delay.is_zero() {
            true => drop(state.delays.remove(host)),
            false => drop(state.delays.insert(host.to_owned(), delay)),
        }
    }

    /// Closes the open connections from and to a host.
    pub(crate) fn reset_open(&self, host: &str) {
        let mut state = self.0.lock().unwrap();
        let state = &mut *state;
        let hit = state.open.iter().filter(|(_, f, t)| f == host || t == host);
        state.reset.extend(hit.map(|(number, ..)| *number));
    }

    /// Stops all bytes from and to a host and closes nothing.
    pub(crate) fn isolate(&self, host: &str) {
        self.0.lock().unwrap().isolated.insert(host.to_owned());
    }

    /// Ends the isolation. Bytes held back arrive now, as resent packets do.
    pub(crate) fn rejoin(&self, host: &str) {
        self.0.lock().unwrap().isolated.remove(host);
    }

    /// Stops the bytes of the matching open connections for good, and returns
    /// their number. New connections work.
    pub(crate) fn freeze_open(&self, matches: impl Fn(&str, &str) -> bool) -> usize {
        let mut state = self.0.lock().unwrap();
        let state = &mut *state;
        let hit = state.open.iter().filter(|(_, from, to)| matches(from, to));
        let hit: Vec<u64> = hit.map(|(number, ..)| *number).collect();
        state.frozen.extend(&hit);
        hit.len()
    }
}

/// Returns the host that dialled: the two-letter name in field 3 of the hello,
/// which is the first frame of a session.
fn sender(first: &[u8]) -> Option<String> {
    let at = first.windows(2).position(|w| w == [0x1a, 2])?;
    String::from_utf8(first.get(at + 2..at + 4)?.to_vec()).ok()
}
