//! Authentication of frames: a MAC over a sequence number and the frame's bytes.

use bytes::Bytes;
use bytes::BytesMut;
use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

use super::SessionError;

/// Length of a MAC, in bytes.
pub(super) const TAG_BYTES: usize = 32;

/// Computes HMAC-SHA256 over the parts in order.
pub(super) fn hmac(key: &[u8], parts: &[&[u8]]) -> [u8; TAG_BYTES] {
    let mut mac = mac(key);
    for part in parts {
        mac.update(part);
    }
    mac.finalize().into_bytes().into()
}

fn mac(key: &[u8]) -> Hmac<Sha256> {
    match Hmac::<Sha256>::new_from_slice(key) {
        Ok(mac) => mac,
        // RFC 2104, section 3.
        Err(_) => unreachable!("HMAC accepts keys of any length"),
    }
}

/// One direction of a session: its key and the number of the next frame.
pub(super) struct Seal {
    mac: Hmac<Sha256>,
    seq: u64,
}

impl Seal {
    pub(super) fn new(key: &[u8]) -> Self {
        Self {
            mac: mac(key),
            seq: 0,
        }
    }

    fn next_mac(&mut self, frame: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(&self.seq.to_be_bytes());
        mac.update(frame);
        // No session lasts for 2^64 frames.
        self.seq = self.seq.wrapping_add(1);
        mac
    }

    /// Returns the frame followed by its MAC.
    pub(super) fn seal(&mut self, frame: &[u8]) -> Bytes {
        let tag = self.next_mac(frame).finalize().into_bytes();
        let mut buf = BytesMut::with_capacity(frame.len() + TAG_BYTES);
        buf.extend_from_slice(frame);
        buf.extend_from_slice(&tag);
        buf.freeze()
    }

    /// Verifies the MAC in constant time and returns the frame without it.
    pub(super) fn open(&mut self, mut buf: BytesMut) -> Result<BytesMut, SessionError> {
        let Some(len) = buf.len().checked_sub(TAG_BYTES) else {
            return Err(SessionError::BadMac);
        };
        let tag = buf.split_off(len);
        match self.next_mac(&buf).verify_slice(&tag) {
            Ok(()) => Ok(buf),
            Err(_) => Err(SessionError::BadMac),
        }
    }
}
