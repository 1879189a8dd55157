//! A TCP proxy in front of each daemon's peer address. It holds bytes back
//! without closing anything, as a network that drops every packet does.

#![expect(clippy::unwrap_used, reason = "test support")]

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

/// Interval at which held bytes look whether they may pass.
const POLL: Duration = Duration::from_millis(5);

#[derive(Default)]
struct State {
    /// Hosts whose connections carry nothing, open ones and new ones.
    isolated: HashSet<String>,
    /// Connections with a lower number that match carry nothing for good.
    frozen: HashSet<u64>,
    /// Open connections: number, dialling host, dialled host.
    open: Vec<(u64, String, String)>,
    next: u64,
}

/// The proxies of one fleet. Hosts are named as their daemons.
#[derive(Clone, Default)]
pub(crate) struct Network(Arc<Mutex<State>>);

impl Network {
    /// Carries connections to `host` from `listen` on to `target`.
    pub(crate) fn carry(&self, host: &str, listen: std::net::TcpListener, target: SocketAddr) {
        listen.set_nonblocking(true).unwrap();
        let listen = TcpListener::from_std(listen).unwrap();
        let (net, host) = (self.clone(), host.to_owned());
        tokio::spawn(async move {
            loop {
                let (stream, _) = listen.accept().await.unwrap();
                tokio::spawn(net.clone().connection(host.clone(), stream, target));
            }
        });
    }

    async fn connection(self, host: String, mut dialling: TcpStream, target: SocketAddr) {
        let mut first = vec![0; 4096];
        let Ok(n) = dialling.read(&mut first).await else {
            return;
        };
        first.truncate(n);
        let Some(from) = sender(&first) else {
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
        self.pass(number, &ends).await;
        if let Ok(mut dialled) = TcpStream::connect(target).await
            && dialled.write_all(&first).await.is_ok()
        {
            dialling.set_nodelay(true).unwrap();
            dialled.set_nodelay(true).unwrap();
            let (a_read, a_write) = dialling.into_split();
            let (b_read, b_write) = dialled.into_split();
            tokio::join!(
                self.pump(number, &ends, a_read, b_write),
                self.pump(number, &ends, b_read, a_write),
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
            let n = read.read(&mut buf).await.unwrap_or(0);
            self.pass(number, ends).await;
            if n == 0 || write.write_all(&buf[..n]).await.is_err() {
                return;
            }
        }
    }

    /// Waits until the connection may carry bytes.
    async fn pass(&self, number: u64, ends: &[String; 2]) {
        loop {
            {
                let state = self.0.lock().unwrap();
                let cut = ends.iter().any(|host| state.isolated.contains(host));
                if !cut && !state.frozen.contains(&number) {
                    return;
                }
            }
            tokio::time::sleep(POLL).await;
        }
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
