//! Exchange of frames with peers, independent of the sessions that carry them.

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
    /// Estimated one-way delay: half the round trip of the last heartbeat. `None`
    /// without a recent heartbeat.
    pub transit: Option<Duration>,
}

/// Sends frames to peers by name.
pub trait Peers: Send + Sync {
    /// Queues a frame for a peer. Returns `false` when there is no session with
    /// it, or when its queue is full.
    fn send(&self, node: &str, payload: Payload) -> bool;

    /// Sets the routers of the fleet. Called after each change of the directory.
    fn set_routers(&self, _routers: &[OpenIncarnation]) {}
}
