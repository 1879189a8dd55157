//! A server with scripted answers, and a caller that sees each byte.

use std::fmt;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use anvilloft_gateway::BodyMemory;
use anvilloft_gateway::Refusal;
use anvilloft_gateway::body;
use anvilloft_gateway::body::ReadLimits;
use anvilloft_gateway::metrics::Metrics;
use anvilloft_gateway::serve::ConnectionLimits;
use anvilloft_gateway::serve::Handler;
use anvilloft_gateway::serve::HandlerService;
use anvilloft_gateway::serve::Server as HttpServer;
use bytes::Bytes;
use futures::StreamExt;
use http::Request;
use http::Response;
use http_body::Frame;
use http_body_util::StreamBody;
use prometheus::IntGauge;
use slog::Discard;
use slog::Drain;
use slog::KV;
use slog::Logger;
use slog::OwnedKVList;
use slog::o;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use volo_http::body::Body;

/// Time in which each step of a test is done.
pub(crate) const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// Size of a large answer, in bytes.
pub(crate) const LARGE_BYTES: usize = 8 << 20;

/// Answers by path, and reads the body only where the path says so.
struct Scripted(BodyMemory);

impl Handler for Scripted {
    async fn handle(&self, req: Request<Body>) -> Response<Body> {
        match req.uri().path() {
            "/refuse" => Refusal::invalid_key().into_response(),
            "/panic" => panic!("a handler fails"),
            "/panic-in-body" => {
                let parts = futures::stream::iter(0..2).map(|n| match n {
                    0 => Ok::<_, std::io::Error>(Frame::data(Bytes::from_static(b"first"))),
                    _ => panic!("a body fails"),
                });
                Response::new(Body::from_body(StreamBody::new(parts)))
            }
            "/slow" => {
                tokio::time::sleep(Duration::from_millis(300)).await;
                Response::new(Body::from("slow"))
            }
            "/large" => Response::new(Body::from(vec![b'x'; LARGE_BYTES])),
            "/hang" => std::future::pending().await,
            _ => {
                let limits = ReadLimits {
                    max_bytes: 8 << 20,
                    idle_timeout: STEP_TIMEOUT,
                    memory: &self.0,
                };
                match body::read(req.into_body(), &limits).await {
                    Ok((data, _)) => Response::new(Body::from(data.len().to_string())),
                    Err(refusal) => refusal.into_response(),
                }
            }
        }
    }
}

/// Lines of a log, each as its message and `key=value;` pairs.
#[derive(Clone, Default)]
pub(crate) struct CapturedLog(Arc<Mutex<Vec<String>>>);

struct Line(String);

impl slog::Serializer for Line {
    fn emit_arguments(&mut self, key: slog::Key, value: &fmt::Arguments<'_>) -> slog::Result {
        write!(self.0, " {key}={value};").map_err(slog::Error::from)
    }
}

impl Drain for CapturedLog {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        let mut line = Line(record.msg().to_string());
        record.kv().serialize(record, &mut line).ok();
        self.0.lock().unwrap().push(line.0);
        Ok(())
    }
}

impl CapturedLog {
    pub(crate) fn logger(&self) -> Logger {
        Logger::root(self.clone(), o!())
    }

    /// Returns the lines with this message.
    pub(crate) fn lines(&self, message: &str) -> Vec<String> {
        let lines = self.0.lock().unwrap();
        lines
            .iter()
            .filter(|l| l.starts_with(message))
            .cloned()
            .collect()
    }
}

/// Values that a gauge has when lines with some message are logged.
#[derive(Clone)]
pub(crate) struct GaugeAtLine {
    pub(crate) message: &'static str,
    pub(crate) gauge: IntGauge,
    pub(crate) values: Arc<Mutex<Vec<i64>>>,
}

impl Drain for GaugeAtLine {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        if record.msg().to_string() == self.message {
            self.values.lock().unwrap().push(self.gauge.get());
        }
        Ok(())
    }
}

/// A running server.
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) stop: CancellationToken,
    pub(crate) finish: CancellationToken,
}

impl Server {
    pub(crate) async fn start(limits: ConnectionLimits) -> Self {
        Self::start_logging(limits, Logger::root(Discard, o!())).await
    }

    pub(crate) async fn start_logging(limits: ConnectionLimits, log: Logger) -> Self {
        Self::start_with(limits, Arc::new(Metrics::new().unwrap()), log).await
    }

    pub(crate) async fn start_with(
        limits: ConnectionLimits,
        metrics: Arc<Metrics>,
        log: Logger,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            metrics,
            stop: CancellationToken::new(),
            finish: CancellationToken::new(),
        };
        let memory = BodyMemory::new(64 << 20, IntGauge::new("bodies", "bodies").unwrap());
        let http_server = HttpServer::new(limits, Arc::clone(&server.metrics)).log(log);
        tokio::spawn(http_server.serve(
            listener,
            HandlerService(Scripted(memory)),
            server.stop.clone(),
            server.finish.clone(),
        ));
        server
    }

    pub(crate) async fn connect(&self) -> Caller {
        Caller(TcpStream::connect(self.address).await.unwrap())
    }
}

/// An answer as a caller reads it.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) close: bool,
    pub(crate) body: String,
}

/// A caller's connection.
pub(crate) struct Caller(pub(crate) TcpStream);

impl Caller {
    /// Reads one answer with a declared length.
    pub(crate) async fn read(&mut self) -> Result<Answer, String> {
        read_answer(&mut self.0).await
    }

    /// Sends a request without a body, and reads its answer.
    pub(crate) async fn get(&mut self, path: &str) -> Result<Answer, String> {
        self.write(&head(path, "")).await?;
        self.read().await
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.0
            .write_all(bytes)
            .await
            .map_err(|e| format!("write: {e}"))
    }

    /// Waits until the server closes the connection. Returns what it sent before.
    pub(crate) async fn closed(&mut self) -> Vec<u8> {
        let mut rest = Vec::new();
        let read = tokio::time::timeout(STEP_TIMEOUT, self.0.read_to_end(&mut rest));
        read.await.expect("the connection is closed").ok();
        rest
    }
}

/// Returns the header of a request with this further header line.
pub(crate) fn head(path: &str, line: &str) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nhost: h\r\nx-anvilloft-attempt: a1\r\n{line}\r\n").into_bytes()
}

/// Reads one answer with a declared length.
pub(crate) async fn read_answer(
    stream: &mut (impl AsyncReadExt + Unpin),
) -> Result<Answer, String> {
    let mut text = Vec::new();
    let read = async {
        loop {
            if let Some(answer) = parse_answer(&text) {
                return Ok(answer);
            }
            let mut buf = [0; 4096];
            match stream.read(&mut buf).await {
                Ok(0) => return Err(format!("closed after {} bytes", text.len())),
                Ok(n) => text.extend_from_slice(&buf[..n]),
                Err(e) => return Err(format!("read: {e} after {} bytes", text.len())),
            }
        }
    };
    let read = tokio::time::timeout(STEP_TIMEOUT, read).await;
    read.unwrap_or_else(|_| Err("no answer in time".to_owned()))
}

fn parse_answer(bytes: &[u8]) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let head = head.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "))?;
    (body.len() >= length.parse().ok()?).then(|| Answer {
        status: head.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0),
        close: head.contains("connection: close"),
        body: body.to_owned(),
    })
}
