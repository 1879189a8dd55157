//! Handshake at the start of a session.
//!
//! Each side sends a hello with a random nonce. The client then sends
//! `HMAC(fleet key, "client" label, both hellos)`, which the server checks
//! before it sends its own proof. The labels differ, so a proof can't be
//! reflected to its sender. The keys of both directions are derived from the same
//! hellos, so they differ in each session.

use std::sync::Arc;

use anvilloft_settings::Secret;
use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use prost::Message;
use rand::TryRngCore;
use rand::rngs::OsRng;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;

use super::SessionError;
use super::SessionStats;
use super::seal::Seal;
use super::seal::TAG_BYTES;
use super::seal::hmac;
use crate::frame::Hello;
use crate::frame::MAX_FRAME_BYTES;
use crate::frame::PROTOCOL_MAX;
use crate::frame::PROTOCOL_MIN;

/// Maximum size of a frame before the peer has proved that it holds the fleet
/// key, in bytes.
const MAX_HELLO_BYTES: usize = 1024;
/// Length of a nonce, in bytes.
const NONCE_BYTES: usize = 32;
/// Maximum length of a name in a hello, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Identity that this process announces, and the key that proves it.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the process.
    pub node: String,
    /// `router` or `control`.
    pub role: String,
    /// Data centre of the process.
    pub data_centre: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Random identity of a control member; 0 for routers.
    pub member: u64,
    /// Lowest and highest supported protocol version.
    pub versions: (u32, u32),
    /// Key shared by the whole fleet.
    pub fleet_key: Secret,
    /// Session counters of this process.
    pub stats: Arc<SessionStats>,
}

impl Identity {
    /// Returns an identity with the protocol versions of this build.
    pub fn new(node: &str, role: &str, data_centre: &str, fleet_key: Secret) -> Self {
        Self {
            node: node.to_owned(),
            role: role.to_owned(),
            data_centre: data_centre.to_owned(),
            incarnation: 0,
            member: 0,
            versions: (PROTOCOL_MIN, PROTOCOL_MAX),
            fleet_key,
            stats: Arc::default(),
        }
    }

    fn hello(&self) -> Result<Hello, SessionError> {
        let mut nonce = vec![0; NONCE_BYTES];
        OsRng
            .try_fill_bytes(&mut nonce)
            .map_err(|err| SessionError::Io(std::io::Error::other(err)))?;
        Ok(Hello {
            version_min: self.versions.0,
            version_max: self.versions.1,
            node: self.node.clone(),
            role: self.role.clone(),
            data_centre: self.data_centre.clone(),
            incarnation: self.incarnation,
            nonce,
            member: self.member,
        })
    }
}

/// Which side of the connection this process is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    Client,
    Server,
}

/// Framed connection, keys and peer after a handshake.
pub(super) struct Opened<R, W> {
    pub(super) reader: FramedRead<R, LengthDelimitedCodec>,
    pub(super) writer: FramedWrite<W, LengthDelimitedCodec>,
    pub(super) seal_out: Seal,
    pub(super) seal_in: Seal,
    pub(super) peer: Hello,
    pub(super) version: u32,
}

async fn receive<R: AsyncRead + Unpin>(
    reader: &mut FramedRead<R, LengthDelimitedCodec>,
) -> Result<Bytes, SessionError> {
    match reader.next().await {
        Some(frame) => Ok(frame?.freeze()),
        None => Err(SessionError::ClosedByPeer),
    }
}

fn check_hello(hello: &Hello) -> Result<(), SessionError> {
    if hello.nonce.len() != NONCE_BYTES {
        return Err(SessionError::BadHello("the nonce is not 32 bytes long"));
    }
    let max_len = [&hello.node, &hello.role, &hello.data_centre]
        .iter()
        .map(|name| name.len())
        .max();
    if max_len > Some(MAX_NAME_BYTES) {
        return Err(SessionError::BadHello("a name is too long"));
    }
    Ok(())
}

/// Returns the highest common protocol version.
fn negotiate(ours: (u32, u32), theirs: (u32, u32)) -> Result<u32, SessionError> {
    let version = ours.1.min(theirs.1);
    if version < ours.0.max(theirs.0) {
        return Err(SessionError::NoCommonVersion(ours, theirs));
    }
    Ok(version)
}

/// Runs the handshake on a new connection.
pub(super) async fn handshake<R, W>(
    reader: R,
    writer: W,
    side: Side,
    identity: &Identity,
) -> Result<Opened<R, W>, SessionError>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_HELLO_BYTES);
    let mut reader = FramedRead::new(reader, codec.clone());
    let mut writer = FramedWrite::new(writer, codec);

    let hello = identity.hello()?;
    let ours = Bytes::from(hello.encode_to_vec());
    let theirs = match side {
        Side::Client => {
            writer.send(ours.clone()).await?;
            receive(&mut reader).await?
        }
        Side::Server => {
            let theirs = receive(&mut reader).await?;
            writer.send(ours.clone()).await?;
            theirs
        }
    };
    let peer = Hello::decode(theirs.clone())
        .map_err(|_| SessionError::BadHello("it is not a valid message"))?;
    check_hello(&peer)?;
    if peer.nonce == hello.nonce {
        return Err(SessionError::BadHello("the nonce is our own"));
    }
    let version = negotiate(identity.versions, (peer.version_min, peer.version_max))?;

    let (client, server) = match side {
        Side::Client => (&ours, &theirs),
        Side::Server => (&theirs, &ours),
    };
    // The lengths make the boundary between the hellos unambiguous.
    let transcript = Sha256::new()
        .chain_update((client.len() as u64).to_be_bytes())
        .chain_update(client)
        .chain_update((server.len() as u64).to_be_bytes())
        .chain_update(server)
        .finalize();
    let derive = |label: &[u8]| hmac(identity.fleet_key.expose(), &[label, &transcript]);
    let client_proof = derive(b"anvilloft client proof");
    let server_proof = derive(b"anvilloft server proof");
    let client_key = derive(b"anvilloft client to server");
    let server_key = derive(b"anvilloft server to client");
    match side {
        Side::Client => {
            writer.send(Bytes::copy_from_slice(&client_proof)).await?;
            check_proof(&receive(&mut reader).await?, &server_proof)?;
        }
        Side::Server => {
            check_proof(&receive(&mut reader).await?, &client_proof)?;
            writer.send(Bytes::copy_from_slice(&server_proof)).await?;
        }
    }
    let limit = MAX_FRAME_BYTES + TAG_BYTES;
    reader.decoder_mut().set_max_frame_length(limit);
    writer.encoder_mut().set_max_frame_length(limit);
    let (key_out, key_in) = match side {
        Side::Client => (client_key, server_key),
        Side::Server => (server_key, client_key),
    };
    Ok(Opened {
        reader,
        writer,
        seal_out: Seal::new(&key_out),
        seal_in: Seal::new(&key_in),
        peer,
        version,
    })
}

fn check_proof(got: &[u8], expected: &[u8; TAG_BYTES]) -> Result<(), SessionError> {
    if bool::from(got.ct_eq(expected)) {
        return Ok(());
    }
    Err(SessionError::BadProof)
}
