//! Runs a volo-http service on a listener without volo's signal handling.

use std::fmt;
use std::future::Future;
use std::io;
use std::task::Poll;

use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use volo::net::conn::Conn;
use volo::net::conn::ConnStream;
use volo::net::incoming::Incoming;
use volo::net::incoming::MakeIncoming;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Server;

/// Largest count of headers in a request.
pub const MAX_HEADERS: usize = 100;

/// Accepts connections until the token is cancelled.
struct Accept {
    listener: Option<TcpListener>,
    stop: CancellationToken,
}

impl fmt::Debug for Accept {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Accept").finish_non_exhaustive()
    }
}

impl Incoming for Accept {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        let Some(listener) = &self.listener else {
            return std::future::pending().await;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = self.stop.cancelled() => {
                // Closes the listening socket, so that new callers are
                // refused at once. The accept loop of volo has no end.
                self.listener = None;
                return std::future::pending().await;
            }
        };
        match accepted {
            Ok((stream, _)) => {
                // Small events must not wait for the acknowledgement of the
                // event before.
                stream.set_nodelay(true).ok();
                Ok(Some(Conn::from(ConnStream::from(stream))))
            }
            Err(e) => {
                // Accepting fails when descriptors run out; a short pause
                // keeps the accept loop from spinning.
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                Err(e)
            }
        }
    }
}

impl MakeIncoming for Accept {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

/// Starts to serve `service` on `listener` as tasks of the current runtime.
///
/// Cancelling `stop` closes the listener; open connections go on.
///
/// # Errors
///
/// Fails when the server ends at once.
pub async fn serve<S>(listener: TcpListener, service: S, stop: CancellationToken) -> io::Result<()>
where
    S: volo::Service<ServerContext, Request, Response = Response, Error = std::convert::Infallible>
        + Send
        + Sync
        + 'static,
{
    let accept = Accept {
        listener: Some(listener),
        stop,
    };
    let mut server = Server::new(service);
    server.http1_config().set_max_headers(MAX_HEADERS);
    let run = server.http1_only().run(accept);
    // volo's `run` first starts its accept loop as a task and then waits for
    // signals, at which it closes connections after 30 s at most. A drain may
    // take longer, so `run` is polled once and dropped; the accept loop stays.
    let mut run = Box::pin(run);
    let first = std::future::poll_fn(|cx| Poll::Ready(run.as_mut().poll(cx))).await;
    match first {
        Poll::Pending => Ok(()),
        Poll::Ready(Ok(())) => Err(io::Error::other("the server ended at once")),
        Poll::Ready(Err(e)) => Err(io::Error::other(e)),
    }
}
