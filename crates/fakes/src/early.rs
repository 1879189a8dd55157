//! An endpoint that answers before it has read a request, and then ends the connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Time between the two steps of an end that has two.
const STEP_PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of bytes of a request that are read before a close.
const MAX_READ_BYTES: usize = 1_000_000;

/// How a connection ends whose request is partly unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyEnd {
    /// Closes the socket with unread bytes, which resets the connection.
    CloseUnread,
    /// Resets the connection, and discards what was not sent yet.
    Abort,
    /// Ends its own direction and resets the connection right after.
    ShutdownThenReset,
    /// Ends its own direction, and resets the connection a little later.
    ShutdownThenLateReset,
    /// Reads what has arrived, but not a long request, and closes the socket. Bytes that
    /// arrive later reset the connection.
    CloseRead,
}

impl EarlyEnd {
    /// All ways to end a connection.
    pub const ALL: [Self; 5] = [
        Self::CloseUnread,
        Self::Abort,
        Self::ShutdownThenReset,
        Self::ShutdownThenLateReset,
        Self::CloseRead,
    ];

    async fn apply(self, mut stream: TcpStream) -> io::Result<()> {
        match self {
            Self::CloseUnread => {}
            Self::Abort => stream.set_zero_linger()?,
            Self::ShutdownThenReset => stream.shutdown().await?,
            Self::ShutdownThenLateReset => {
                stream.shutdown().await?;
                tokio::time::sleep(STEP_PAUSE).await;
            }
            Self::CloseRead => {
                let mut buf = vec![0; 256 * 1024];
                let mut left = MAX_READ_BYTES;
                while let Ok(len @ 1..) = stream.try_read(&mut buf) {
                    left = left.saturating_sub(len);
                    if left == 0 {
                        break;
                    }
                }
            }
        }
        Ok(())
    }
}

/// Starts an endpoint that sends the bytes returned by `answer` for the head of a request,
/// in lower case, once that head has arrived, and ends the connection `pause` later. Its
/// tasks run until the runtime shuts down.
///
/// # Errors
///
/// Fails when no address can be bound.
pub async fn start_early_endpoint(
    answer: impl Fn(&str) -> Vec<u8> + Clone + Send + 'static,
    end: EarlyEnd,
    pause: Duration,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, answer.clone(), end, pause));
        }
    });
    Ok(addr)
}

async fn serve(
    mut stream: TcpStream,
    answer: impl Fn(&str) -> Vec<u8>,
    end: EarlyEnd,
    pause: Duration,
) -> io::Result<()> {
    let mut buf = Vec::new();
    while !buf.windows(4).any(|w| w == b"\r\n\r\n") {
        if stream.read_buf(&mut buf).await? == 0 {
            return Ok(());
        }
    }
    let head = String::from_utf8_lossy(&buf).to_ascii_lowercase();
    stream.write_all(&answer(&head)).await?;
    tokio::time::sleep(pause).await;
    end.apply(stream).await
}

/// Returns the value of a field of a head in lower case.
pub fn head_field<'a>(head: &'a str, name: &str) -> &'a str {
    let mut lines = head.lines();
    lines
        .find_map(|l| l.strip_prefix(name)?.strip_prefix(':'))
        .map_or("", str::trim)
}
