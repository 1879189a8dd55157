//! A caller that costs little itself: one connection, kept open, and a parser
//! that looks for the end of the answer and counts events.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::KEY;

/// Limit of one call.
const LIMIT: Duration = Duration::from_secs(30);
const EVENT: &[u8] = b"data: {";
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

pub(super) struct Caller {
    stream: TcpStream,
    addr: SocketAddr,
    buf: Vec<u8>,
}

fn broken(what: &str) -> io::Error {
    io::Error::other(what.to_owned())
}

fn find(buf: &[u8], wanted: &[u8]) -> Option<usize> {
    buf.windows(wanted.len()).position(|w| w == wanted)
}

impl Caller {
    pub(super) async fn open(addr: SocketAddr) -> io::Result<Self> {
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

    /// Sends a request and reads the head of the answer.
    pub(super) async fn start(&mut self, body: &str) -> io::Result<()> {
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: {}\r\nauthorization: Bearer {KEY}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            self.addr,
            body.len()
        );
        self.buf.clear();
        self.stream.write_all(head.as_bytes()).await?;
        while find(&self.buf, b"\r\n\r\n").is_none() {
            self.read().await?;
        }
        if !self.buf.starts_with(b"HTTP/1.1 200") {
            let text = String::from_utf8_lossy(&self.buf);
            let line = text.lines().next().unwrap_or_default();
            let code = text.split("\"code\":\"").nth(1).unwrap_or_default();
            let code = code.split('"').next().unwrap_or_default();
            return Err(broken(&format!("{line}: {code}")));
        }
        Ok(())
    }

    async fn read(&mut self) -> io::Result<()> {
        let read = self.stream.read_buf(&mut self.buf);
        match tokio::time::timeout(LIMIT, read).await {
            Ok(Ok(0)) => Err(broken("closed")),
            Ok(Ok(_)) => Ok(()),
            Ok(Err(e)) => Err(e),
            Err(_) => Err(broken("silent")),
        }
    }

    /// Makes a whole call. Returns 1, or the events of a stream.
    pub(super) async fn call(&mut self, body: &str) -> io::Result<u64> {
        self.start(body).await?;
        let head = find(&self.buf, b"\r\n\r\n").ok_or_else(|| broken("no head"))? + 4;
        let text = String::from_utf8_lossy(&self.buf[..head]).to_ascii_lowercase();
        if let Some(length) = text
            .lines()
            .find_map(|l| l.strip_prefix("content-length: "))
        {
            let length: usize = length.trim().parse().map_err(|_| broken("length"))?;
            while self.buf.len() < head + length {
                self.read().await?;
            }
            return Ok(1);
        }
        self.buf.drain(..head);
        let mut events = 0;
        loop {
            // Keeps what may be the start of an event at the end.
            let keep = EVENT.len().max(LAST_CHUNK.len()) - 1;
            events += self
                .buf
                .windows(EVENT.len())
                .filter(|w| *w == EVENT)
                .count() as u64;
            if self.buf.ends_with(LAST_CHUNK) {
                return Ok(events);
            }
            let cut = self.buf.len().saturating_sub(keep);
            self.buf.drain(..cut);
            self.read().await?;
        }
    }
}
