//! Frames between router peers, without the sessions that carry them.

use std::time::Duration;

use crate::command::OpenIncarnation;
use crate::frame::Payload;

/// A frame that a peer sent.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerFrame {
    /// Name of the sender.
    pub node: String,
    /// The frame.
    pub payload: Payload,
    /// Estimated time on the way: half the last heartbeat's round trip. `None`
    /// when that heartbeat is too old to say.
    pub transit: Option<Duration>,
}

/// Sends frames to peers by name.
pub trait Peers: Send + Sync {
    /// Queues a frame. Returns whether there is a session that took it.
    fn send(&self, node: &str, payload: Payload) -> bool;

    /// Names the routers of the fleet, after each change.
    fn set_routers(&self, _routers: &[OpenIncarnation]) {}
}
