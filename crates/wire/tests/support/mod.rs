//! A server, and a proxy that forwards, modifies or withholds frames.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_settings::Secret;
use anvilloft_types::BoxFuture;
use anvilloft_wire::ControlReply;
use anvilloft_wire::control::Answer;
use anvilloft_wire::frame::Call;
use anvilloft_wire::frame::Payload;
use anvilloft_wire::session::Handler;
use anvilloft_wire::session::Identity;
use anvilloft_wire::session::Session;
use anvilloft_wire::session::serve;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::sync::watch;

pub(crate) const KEY: &str = "0123456789abcdef0123456789abcdef";

pub(crate) fn log() -> Logger {
    Logger::root(Discard, o!())
}

pub(crate) fn identity(node: &str, key: &str) -> Identity {
    Identity::new(node, "control", "dc1", Secret::new(key))
}

/// Delay of each frame by [`Fault::Delay`].
const FRAME_DELAY: Duration = Duration::from_millis(25);

/// Answers calls with `answer`, or not at all without one, and records sessions,
/// recalls and the hops of calls.
#[derive(Default)]
pub(crate) struct Recorder {
    pub(crate) answer: Option<Answer>,
    /// Whether the first call gets no reply.
    pub(crate) ignore_first_call: bool,
    pub(crate) recalls: Mutex<Vec<String>>,
    pub(crate) hops: Mutex<Vec<u32>>,
    pub(crate) sessions: Mutex<Vec<Arc<Session>>>,
}

impl Handler for Recorder {
    fn opened(&self, session: &Arc<Session>) {
        self.sessions.lock().unwrap().push(session.clone());
    }

    fn frame(&self, _session: &Arc<Session>, payload: Payload) {
        if let Payload::Recall(budget) = payload {
            self.recalls.lock().unwrap().push(budget);
        }
    }

    fn call(&self, _session: &Arc<Session>, call: Call) -> BoxFuture<'static, ControlReply> {
        let mut hops = self.hops.lock().unwrap();
        hops.push(call.hops);
        let ignore = self.ignore_first_call && hops.len() == 1;
        let answer = self.answer.clone().filter(|_| !ignore);
        Box::pin(async move {
            match answer {
                Some(answer) => answer.into(),
                None => std::future::pending().await,
            }
        })
    }
}

pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    pub(crate) identity: Arc<Identity>,
    pub(crate) handler: Arc<Recorder>,
    _stop: watch::Sender<bool>,
}

pub(crate) async fn server(identity: Identity, handler: Recorder) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    serve_on(listener, identity, handler)
}

/// Starts a server whose sockets accept only little more than `bytes` before the peer
/// reads.
pub(crate) async fn server_with_send_buffer(identity: Identity, bytes: u32) -> Server {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(bytes).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    serve_on(socket.listen(64).unwrap(), identity, Recorder::default())
}

fn serve_on(listener: TcpListener, identity: Identity, handler: Recorder) -> Server {
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    let identity = Arc::new(identity);
    let handler = Arc::new(handler);
    tokio::spawn(serve(
        listener,
        identity.clone(),
        handler.clone(),
        64,
        stopped,
        log(),
    ));
    Server {
        address,
        identity,
        handler,
        _stop: stop,
    }
}

/// What the proxy does with frames from the client to the server.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    None,
    Replay,
    Swap,
    FlipByte,
    Truncate,
    Oversize,
    /// Delays each frame from the server to the client, which fill small buffers.
    Delay,
}

pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    /// Stops forwarding on every connection that is open at the time.
    pub(crate) freeze: watch::Sender<u64>,
    /// Applies the fault to later frames while set.
    pub(crate) armed: Arc<AtomicBool>,
}

/// Starts a proxy that forwards connections to `target`. New connections work
/// after a freeze, too.
pub(crate) async fn proxy(target: SocketAddr, fault: Fault) -> Proxy {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (freeze, frozen) = watch::channel(0);
    let armed = Arc::new(AtomicBool::new(false));
    let arm = armed.clone();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let socket = TcpSocket::new_v4().unwrap();
            if matches!(fault, Fault::Delay) {
                socket.set_recv_buffer_size(4096).unwrap();
            }
            let server = socket.connect(target).await.unwrap();
            let (cr, cw) = client.into_split();
            let (sr, sw) = server.into_split();
            let (to_server, to_client) = match fault {
                Fault::Delay => (Fault::None, Fault::Delay),
                _ => (fault, Fault::None),
            };
            for (r, w, fault) in [(cr, sw, to_server), (sr, cw, to_client)] {
                let mut frozen = frozen.clone();
                frozen.mark_unchanged();
                let arm = arm.clone();
                tokio::spawn(async move {
                    let mut r = r;
                    let mut w = w;
                    tokio::select! {
                        _ = forward(&mut r, &mut w, fault, arm) => (),
                        _ = frozen.changed() => {
                            // Keeps both connections open and forwards nothing.
                            std::future::pending::<()>().await;
                        }
                    }
                });
            }
        }
    });
    Proxy {
        address,
        freeze,
        armed,
    }
}

async fn forward(
    r: &mut (impl AsyncReadExt + Unpin),
    w: &mut (impl AsyncWriteExt + Unpin),
    fault: Fault,
    armed: Arc<AtomicBool>,
) -> std::io::Result<()> {
    let mut swapped: Option<Vec<u8>> = None;
    loop {
        let mut frame = vec![0; r.read_u32().await? as usize];
        r.read_exact(&mut frame).await?;
        let mut out = vec![frame];
        if armed.load(Ordering::SeqCst) {
            match fault {
                Fault::None => (),
                Fault::Replay => out.push(out[0].clone()),
                Fault::Swap => match swapped.take() {
                    None => swapped = out.pop(),
                    Some(first) => out.push(first),
                },
                Fault::FlipByte => out[0][0] ^= 1,
                Fault::Truncate => out[0].truncate(7),
                Fault::Delay => tokio::time::sleep(FRAME_DELAY).await,
                Fault::Oversize => {
                    w.write_u32(5 * 1024 * 1024).await?;
                }
            }
        }
        for frame in out {
            w.write_u32(frame.len() as u32).await?;
            w.write_all(&frame).await?;
        }
    }
}

/// Waits until `done` returns true, for at most `limit`. Returns whether it did.
pub(crate) async fn wait_for(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let end = tokio::time::Instant::now() + limit;
    while tokio::time::Instant::now() < end {
        if done() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    done()
}
