//! Authenticated sessions between the system's own processes.
//!
//! `handshake` proves to each side that the other holds the fleet key and
//! derives one key per direction. `seal` adds a MAC to each frame. `peer` runs an
//! open session, `server` accepts sessions, `link` keeps a session to an
//! address open, `client` implements [`crate::Control`] over links, and `fleet`
//! manages the sessions of a router.

mod client;
mod fleet;
mod handshake;
mod link;
mod peer;
mod progress;
mod seal;
mod server;

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use quick_error::quick_error;

pub use client::ControlClient;
pub use fleet::Fleet;
pub use fleet::FleetOptions;
pub use fleet::FleetPeers;
pub use fleet::PeerCallHandler;
pub use fleet::join_fleet;
pub use handshake::Identity;
pub use link::Link;
pub use peer::Handler;
pub use peer::RoundTrip;
pub use peer::Session;
pub use server::serve;

/// Interval between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a received frame after which a session is dropped. Four
/// heartbeats, so that the retransmission of one lost TCP segment ends no
/// session.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a heartbeat of a responsive session may wait for its answer. Longer
/// than a round trip between regions.
pub const PONG_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of the whole handshake, from the accepted connection on.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time for which a session that this side closes waits for the connection to
/// accept a byte of the queue: a few round trips within one city, and one between
/// regions.
pub const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum time from the close of a session by this side to its end. A process with a
/// tenth of a core may get no processor for several tenths of a second while it sends
/// or reads the queue. A core host's planned stop ends at SIGKILL after 8 s, of which
/// its calls take at most 6 s before.
pub const CLOSE_LIMIT: Duration = Duration::from_secs(1);
/// Maximum number of frames queued for writing on one session.
pub const MAX_QUEUED_FRAMES: usize = 1024;
/// Maximum number of bytes queued for writing on one session. 1,024 frames of
/// the maximum size would take 4 GiB.
pub const MAX_QUEUED_BYTES: usize = 32 * 1024 * 1024;
/// Maximum number of the peer's calls that run at once on one session.
pub const MAX_INBOUND_CALLS: usize = 1024;
/// Maximum number of calls in flight to the peer on one session.
pub const MAX_OUTBOUND_CALLS: usize = 8192;
/// Value of [`crate::frame::Call::hops`] in a call that a control member
/// forwarded; it is not forwarded again. Router peers relay only calls with 0
/// hops.
pub const HOPS_BY_CONTROL: u32 = 2;
/// Value of [`crate::frame::Call::hops`] in a call that a router peer relayed.
pub const HOPS_BY_ROUTER: u32 = 1;

quick_error! {
    /// Why a session ended or could not be opened.
    #[derive(Debug)]
    pub enum SessionError {
        /// The connection failed.
        Io(err: std::io::Error) {
            from()
            display("connection: {}", err)
            source(err)
        }
        /// The peer closed the connection.
        ClosedByPeer {
            display("the peer closed the connection")
        }
        /// The handshake took too long.
        HandshakeTimeout {
            display("no complete handshake within {} ms", HANDSHAKE_TIMEOUT.as_millis())
        }
        /// A hello is malformed or violates the protocol.
        BadHello(reason: &'static str) {
            display("bad hello: {}", reason)
        }
        /// The sides have no protocol version in common.
        NoCommonVersion(ours: (u32, u32), theirs: (u32, u32)) {
            display("no common protocol version: ours {} to {}, theirs {} to {}", ours.0, ours.1, theirs.0, theirs.1)
        }
        /// The peer doesn't hold the fleet key, or a hello was modified.
        BadProof {
            display("the peer's proof of the fleet key is wrong")
        }
        /// A frame was modified, replayed, reordered or lost.
        BadMac {
            display("a frame's MAC is wrong")
        }
        /// A frame can't be decoded.
        BadFrame {
            display("a frame can't be decoded")
        }
        /// A frame is larger than the limit.
        TooLarge {
            display("a frame is larger than {} bytes", crate::frame::MAX_FRAME_BYTES)
        }
        /// Nothing was received for [`SILENCE_TIMEOUT`].
        SilenceTimeout {
            display("nothing received for {} ms", SILENCE_TIMEOUT.as_millis())
        }
        /// The peer reads frames too slowly, and the send queue is full.
        Overflow {
            display("the send queue is full")
        }
        /// This side ended the session.
        ClosedLocally {
            display("closed by this side")
        }
    }
}

/// Counters of the sessions of one process.
#[derive(Debug, Default)]
pub struct SessionStats {
    /// Sessions opened, by either side.
    pub opened: AtomicU64,
    /// Handshakes that failed.
    pub handshakes_failed: AtomicU64,
    /// Sessions dropped after [`SILENCE_TIMEOUT`].
    pub dropped_silent: AtomicU64,
    /// Sessions dropped because a send queue was full.
    pub dropped_overflow: AtomicU64,
    /// Sessions dropped because of a wrong MAC or frame.
    pub dropped_invalid: AtomicU64,
    /// Connections refused because of the session limit.
    pub refused: AtomicU64,
}
