//! An endpoint that sends scripted bytes, for responses that no HTTP library
//! would send: late, duplicated, truncated or belonging to another request.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::http::Call;

/// A request as it is passed to the script.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    /// Number of the request, counted from 0 over all connections.
    pub number: u64,
    /// Number of its connection, counted from 0.
    pub connection: u64,
    /// Attempt id in the request's header.
    pub attempt: String,
    /// Request line and headers, converted to lower case.
    pub head: String,
    /// Body.
    pub body: String,
}

/// One step of a scripted response.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends these bytes.
    Send(Vec<u8>),
    /// Sends these bytes again and again, with this pause between, until the peer
    /// closes the connection.
    Repeat(Vec<u8>, Duration),
    /// Sleeps for this time.
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Closes the listener and then all connections, as the death of a process does.
    Crash,
}

/// State of an endpoint. Its listener closes at `Crashing` and its connections at `Crashed`,
/// so that nobody who sees one of these end can still connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Running,
    Crashing,
    Crashed,
}

/// Builds the bytes of a complete JSON response.
pub fn whole_answer(attempt: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nx-anvilloft-attempt: {attempt}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Builds the body of a chat completion with one choice.
pub fn chat_body(content: &str) -> String {
    serde_json::json!({
        "choices": [{"index": 0, "message": {"role": "assistant", "content": content}}],
        "usage": {"prompt_tokens": 1, "completion_tokens": 1, "total_tokens": 2},
    })
    .to_string()
}

/// A scripted endpoint. Its tasks run until the runtime shuts down.
pub struct RawEndpoint {
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Number of requests received.
    pub request_count: Arc<AtomicU64>,
}

impl RawEndpoint {
    /// Starts an endpoint that runs the steps returned by `script` for each request.
    ///
    /// # Errors
    ///
    /// Fails when no address can be bound.
    pub async fn start(
        script: impl Fn(ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let request_count = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&request_count);
        let script = Arc::new(script);
        let life = Arc::new(watch::Sender::new(Life::Running));
        let mut listener_life = life.subscribe();
        tokio::spawn(async move {
            for connection in 0.. {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = listener_life.wait_for(|l| *l == Life::Crashing) => break,
                };
                let Ok((stream, _)) = accepted else {
                    return;
                };
                let script = Arc::clone(&script);
                let counter = Arc::clone(&counter);
                let life = Arc::clone(&life);
                tokio::spawn(async move {
                    let mut crashed = life.subscribe();
                    tokio::select! {
                        _ = serve(stream, connection, &counter, &*script, &life) => {}
                        _ = crashed.wait_for(|l| *l == Life::Crashed) => {}
                    }
                });
            }
            drop(listener);
            life.send_replace(Life::Crashed);
        });
        Ok(Self {
            addr,
            request_count,
        })
    }

    /// Announces the endpoint to a router as a model engine.
    pub async fn announce(&self, router: SocketAddr, key: &str, id: &str, model: &str, seq: u64) {
        let text = serde_json::json!({
            "id": id, "incarnation": 1, "seq": seq, "address": self.addr.to_string(),
            "data_centre": "dc1", "pool": "pool", "kind": "model",
            "models": [{"name": model, "version": "1"}], "slots": 8,
        });
        Call::post("/v1/endpoints/announce", text.to_string())
            .key(key)
            .send(router, Duration::from_secs(1))
            .await
            .ok();
    }
}

/// Reads a request whose body, if any, has a length. Returns its head in lower case and its
/// body, or `None` at the end of the connection. `buf` keeps what follows the request.
///
/// # Errors
///
/// Fails when the connection does.
pub async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> io::Result<Option<(String, String)>> {
    let head_end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buf[..head_end]).to_ascii_lowercase();
    let mut lines = head.lines();
    let length = lines.find_map(|l| l.strip_prefix("content-length:"));
    let length: usize = length.and_then(|v| v.trim().parse().ok()).unwrap_or(0);
    while buf.len() < head_end + length {
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    }
    let body = String::from_utf8_lossy(&buf[head_end..head_end + length]).into_owned();
    buf.drain(..head_end + length);
    Ok(Some((head, body)))
}

async fn serve(
    mut stream: TcpStream,
    connection: u64,
    counter: &AtomicU64,
    script: &(dyn Fn(ReceivedRequest) -> Vec<Step> + Send + Sync),
    life: &watch::Sender<Life>,
) -> io::Result<()> {
    let mut buf = Vec::new();
    loop {
        let Some((head, body)) = read_request(&mut stream, &mut buf).await? else {
            return Ok(());
        };
        let field = |name: &str| {
            head.lines()
                .find_map(|l| l.strip_prefix(name))
                .map(|v| v.trim_start_matches(':').trim().to_owned())
                .unwrap_or_default()
        };
        let req = ReceivedRequest {
            number: counter.fetch_add(1, Ordering::Relaxed),
            connection,
            attempt: field("x-anvilloft-attempt"),
            head: head.clone(),
            body,
        };
        for step in script(req) {
            match step {
                Step::Send(bytes) => stream.write_all(&bytes).await?,
                Step::Repeat(bytes, pause) => loop {
                    stream.write_all(&bytes).await?;
                    if pause.is_zero() {
                        tokio::task::yield_now().await;
                    } else {
                        tokio::time::sleep(pause).await;
                    }
                },
                Step::Wait(time) => tokio::time::sleep(time).await,
                Step::Close => return Ok(()),
                Step::Crash => {
                    life.send_if_modified(|life| {
                        let is_first = *life == Life::Running;
                        if is_first {
                            *life = Life::Crashing;
                        }
                        is_first
                    });
                    std::future::pending::<()>().await;
                }
            }
        }
    }
}
