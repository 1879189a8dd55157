//! An HTTP client over a plain socket that exposes exactly what was received.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Largest response that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A response as received, which may be incomplete.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// HTTP status, or 0 if no complete head was received.
    pub status: u16,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Decoded body.
    pub body: Vec<u8>,
    /// Whether the end of the body was received.
    pub complete: bool,
}

impl Reply {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON, or null.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the data of each server-sent event.
    pub fn events(&self) -> Vec<String> {
        self.text()
            .split("\n\n")
            .filter_map(|e| e.strip_prefix("data: "))
            .map(str::to_owned)
            .collect()
    }

    /// Returns the text of a chat completion; the events of a stream are joined.
    pub fn content(&self) -> String {
        if self.header("content-type") == Some("text/event-stream") {
            self.events()
                .iter()
                .filter_map(|e| serde_json::from_str::<serde_json::Value>(e).ok())
                .filter_map(|v| {
                    v["choices"][0]["delta"]["content"]
                        .as_str()
                        .map(str::to_owned)
                })
                .collect()
        } else {
            self.json()["choices"][0]["message"]["content"]
                .as_str()
                .unwrap_or_default()
                .to_owned()
        }
    }
}

/// A request to send.
#[derive(Clone, Debug, Default)]
pub struct Call {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    /// Whether the connection is left open for another request.
    keep_alive: bool,
}

impl Call {
    /// Makes a GET request.
    pub fn get(path: &str) -> Self {
        Self {
            method: "GET".into(),
            path: path.into(),
            ..Self::default()
        }
    }

    /// Makes a POST request with a JSON body.
    pub fn post(path: &str, body: impl Into<Vec<u8>>) -> Self {
        Self {
            method: "POST".into(),
            path: path.into(),
            headers: vec![("content-type".into(), "application/json".into())],
            body: body.into(),
            keep_alive: false,
        }
    }

    /// Asks the server to keep the connection open after the response.
    #[must_use]
    pub fn keep_alive(mut self) -> Self {
        self.keep_alive = true;
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Adds an `Authorization` header with a bearer key.
    #[must_use]
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    fn encode(&self, addr: SocketAddr) -> Vec<u8> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nhost: {addr}\r\ncontent-length: {}\r\n",
            self.method,
            self.path,
            self.body.len()
        );
        if !self.keep_alive {
            head.push_str("connection: close\r\n");
        }
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends the request on a new connection and reads the response for at most
    /// `timeout`. A partial response is returned with `complete` false.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be opened.
    pub async fn send(&self, addr: SocketAddr, timeout: Duration) -> io::Result<Reply> {
        let mut open = self.open(addr).await?;
        open.read_to_end(timeout).await;
        Ok(open.reply())
    }

    /// Sends the request on a new connection and returns without reading the
    /// response.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be opened.
    pub async fn open(&self, addr: SocketAddr) -> io::Result<OpenCall> {
        let mut stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        stream.write_all(&self.encode(addr)).await?;
        Ok(OpenCall {
            stream,
            raw: Vec::new(),
        })
    }
}

/// Sends bytes unchanged and reads until the connection closes or `timeout` elapses.
///
/// # Errors
///
/// Fails when no connection can be opened.
pub async fn send_raw(addr: SocketAddr, bytes: &[u8], timeout: Duration) -> io::Result<Reply> {
    let mut stream = TcpStream::connect(addr).await?;
    // The server may refuse the request and close before it has read everything.
    stream.write_all(bytes).await.ok();
    let mut open = OpenCall {
        stream,
        raw: Vec::new(),
    };
    open.read_to_end(timeout).await;
    Ok(open.reply())
}

/// A connection on which a request was sent and its response is being read.
pub struct OpenCall {
    stream: TcpStream,
    raw: Vec<u8>,
}

impl OpenCall {
    /// Reads until the response contains `text`, the connection closes or `timeout`
    /// elapses. Returns whether the text was received.
    pub async fn read_until(&mut self, text: &str, timeout: Duration) -> bool {
        let needle = text.as_bytes();
        let deadline = tokio::time::Instant::now() + timeout;
        while !self.raw.windows(needle.len()).any(|w| w == needle) {
            let mut buf = [0; 16384];
            match tokio::time::timeout_at(deadline, self.stream.read(&mut buf)).await {
                Ok(Ok(n)) if n > 0 && self.raw.len() < MAX_RESPONSE_BYTES => {
                    self.raw.extend_from_slice(&buf[..n]);
                }
                _ => return false,
            }
        }
        true
    }

    /// Reads until the connection closes or `timeout` elapses.
    pub async fn read_to_end(&mut self, timeout: Duration) {
        let deadline = tokio::time::Instant::now() + timeout;
        let mut buf = vec![0; 65536];
        loop {
            match tokio::time::timeout_at(deadline, self.stream.read(&mut buf)).await {
                Ok(Ok(n)) if n > 0 && self.raw.len() < MAX_RESPONSE_BYTES => {
                    self.raw.extend_from_slice(&buf[..n]);
                }
                _ => return,
            }
        }
    }

    /// Discards the previous response and sends another request on the connection.
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed.
    pub async fn send_next(&mut self, call: &Call) -> io::Result<()> {
        self.raw.clear();
        let addr = self.stream.peer_addr()?;
        self.stream.write_all(&call.encode(addr)).await
    }

    /// Reads until the response is complete, the connection closes or `timeout`
    /// elapses.
    pub async fn read_reply(&mut self, timeout: Duration) -> Reply {
        let deadline = tokio::time::Instant::now() + timeout;
        let mut buf = vec![0; 65536];
        loop {
            let reply = self.reply();
            if reply.status != 0 && reply.complete {
                return reply;
            }
            match tokio::time::timeout_at(deadline, self.stream.read(&mut buf)).await {
                Ok(Ok(n)) if n > 0 && self.raw.len() < MAX_RESPONSE_BYTES => {
                    self.raw.extend_from_slice(&buf[..n]);
                }
                _ => return self.reply(),
            }
        }
    }

    /// Parses what was received so far.
    pub fn reply(&self) -> Reply {
        parse_reply(&self.raw)
    }
}

/// Parses what was received of a response so far.
pub fn parse_reply(raw: &[u8]) -> Reply {
    let Some(end) = raw.windows(4).position(|w| w == b"\r\n\r\n") else {
        return Reply::default();
    };
    let head = String::from_utf8_lossy(&raw[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines
        .next()
        .and_then(|line| line.split(' ').nth(1))
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
        .collect();
    let mut reply = Reply {
        status,
        headers,
        ..Reply::default()
    };
    let rest = &raw[end + 4..];
    if reply.header("transfer-encoding") == Some("chunked") {
        (reply.body, reply.complete) = decode_chunked(rest);
    } else {
        let length = reply.header("content-length").and_then(|v| v.parse().ok());
        reply.complete = length.is_none_or(|n: usize| rest.len() == n);
        reply.body = rest.to_vec();
    }
    reply
}

/// Decodes a chunked body. Returns whether the terminating chunk was received.
fn decode_chunked(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(end) = rest.windows(2).position(|w| w == b"\r\n") {
        let size = std::str::from_utf8(&rest[..end])
            .ok()
            .and_then(|s| usize::from_str_radix(s.trim(), 16).ok());
        let Some(size) = size else {
            return (body, false);
        };
        rest = &rest[end + 2..];
        if size == 0 {
            return (body, true);
        }
        let Some(data) = rest.get(..size) else {
            body.extend_from_slice(rest);
            return (body, false);
        };
        body.extend_from_slice(data);
        rest = rest.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}
