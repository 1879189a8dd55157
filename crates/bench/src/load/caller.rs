//! HTTP client with little overhead of its own: it keeps one connection open and
//! only looks for the end of the response and counts stream events.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::API_KEY;

/// Timeout of each read.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Start of each event of a streamed response.
const EVENT_START: &[u8] = b"data: {";
/// End of a chunked response.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

pub(super) struct Caller {
    stream: TcpStream,
    addr: SocketAddr,
    buf: Vec<u8>,
}

fn call_error(message: &str) -> io::Error {
    io::Error::other(message.to_owned())
}

fn find(buf: &[u8], needle: &[u8]) -> Option<usize> {
    buf.windows(needle.len()).position(|w| w == needle)
}

impl Caller {
    pub(super) async fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            addr,
            buf: Vec::with_capacity(64 * 1024),
        })
    }

    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request and reads the response head.
    pub(super) async fn send_request(&mut self, body: &str) -> io::Result<()> {
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: {}\r\nauthorization: Bearer {API_KEY}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            self.addr,
            body.len()
        );
        self.buf.clear();
        self.stream.write_all(request.as_bytes()).await?;
        while find(&self.buf, b"\r\n\r\n").is_none() {
            self.read().await?;
        }
        if !self.buf.starts_with(b"HTTP/1.1 200") {
            let text = String::from_utf8_lossy(&self.buf);
            let line = text.lines().next().unwrap_or_default();
            let code = text.split("\"code\":\"").nth(1).unwrap_or_default();
            let code = code.split('"').next().unwrap_or_default();
            return Err(call_error(&format!("{line}: {code}")));
        }
        Ok(())
    }

    async fn read(&mut self) -> io::Result<()> {
        let read = self.stream.read_buf(&mut self.buf);
        match tokio::time::timeout(READ_TIMEOUT, read).await {
            Ok(Ok(0)) => Err(call_error(
                "the connection was closed before the end of the response",
            )),
            Ok(Ok(_)) => Ok(()),
            Ok(Err(e)) => Err(e),
            Err(_) => Err(call_error("timed out waiting for the response")),
        }
    }

    /// Sends a request and reads the whole response. Returns the number of events
    /// of a stream, or 1 for a response that isn't streamed.
    pub(super) async fn call(&mut self, body: &str) -> io::Result<u64> {
        self.send_request(body).await?;
        let body_start = find(&self.buf, b"\r\n\r\n")
            .ok_or_else(|| call_error("the response head is incomplete"))?
            + 4;
        let text = String::from_utf8_lossy(&self.buf[..body_start]).to_ascii_lowercase();
        if let Some(length) = text
            .lines()
            .find_map(|l| l.strip_prefix("content-length: "))
        {
            let length: usize = length
                .trim()
                .parse()
                .map_err(|_| call_error("the content-length header is invalid"))?;
            while self.buf.len() < body_start + length {
                self.read().await?;
            }
            return Ok(1);
        }
        self.buf.drain(..body_start);
        let mut events = 0;
        loop {
            // The end of the buffer may hold the start of an event or of the
            // last chunk, so it is kept for the next search.
            let overlap = EVENT_START.len().max(LAST_CHUNK.len()) - 1;
            events += self
                .buf
                .windows(EVENT_START.len())
                .filter(|w| *w == EVENT_START)
                .count() as u64;
            if self.buf.ends_with(LAST_CHUNK) {
                return Ok(events);
            }
            let searched = self.buf.len().saturating_sub(overlap);
            self.buf.drain(..searched);
            self.read().await?;
        }
    }
}
