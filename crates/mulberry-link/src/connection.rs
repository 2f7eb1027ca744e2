//! One connection: its handshake and its messages.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use mulberry_protocol::auth::MAC_BYTES;
use mulberry_protocol::auth::NONCE_BYTES;
use mulberry_protocol::auth::SecretKeyring;
use mulberry_protocol::error::ProtocolError;
use mulberry_protocol::link::Hello;
use mulberry_protocol::link::MAX_FRAME_BYTES;
use mulberry_protocol::link::decode_message;
use mulberry_protocol::link::encode_message;

use crate::error::LinkError;

/// Time for a connection and its handshake.
const HANDSHAKE_TIME: Duration = Duration::from_secs(2);

/// Largest frame before the peer has proved itself, in bytes.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 64;

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// An authenticated connection.
pub struct LinkConnection {
    frames: Frames,
}

/// The sending half of a connection.
pub struct LinkWriter {
    frames: SplitSink<Frames, Bytes>,
}

/// The receiving half of a connection.
pub struct LinkReader {
    frames: SplitStream<Frames>,
}

impl LinkConnection {
    /// Connects to a peer and proves that both hold a secret of the deployment.
    pub async fn connect(address: SocketAddr, secrets: &SecretKeyring) -> Result<Self, LinkError> {
        let connected = timeout(HANDSHAKE_TIME, TcpStream::connect(address)).await;
        let stream = match connected {
            Ok(stream) => stream.map_err(|source| LinkError::Connect { source })?,
            Err(_) => return Err(LinkError::Connect { source: ErrorKind::TimedOut.into() }),
        };
        within_handshake(Self::prove(stream, secrets)).await
    }

    /// Accepts a connection from a peer that proves that it holds a secret of the deployment.
    pub async fn accept(stream: TcpStream, secrets: &SecretKeyring) -> Result<Self, LinkError> {
        within_handshake(Self::demand_proof(stream, secrets)).await
    }

    /// Sends a message.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), LinkError> {
        self.frames.send(encode_message(message)?).await.map_err(broken)
    }

    /// Receives a message.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, LinkError> {
        decode_frame(self.frames.next().await)
    }

    /// Tells whether the peer has closed the connection, or sent something out of turn.
    pub fn is_stale(&self) -> bool {
        let mut byte = [0];
        let nothing_to_read = self
            .frames
            .get_ref()
            .try_read(&mut byte)
            .is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
        !nothing_to_read
    }

    /// Splits the connection, so that both directions can be used at the same time.
    pub fn split(self) -> (LinkWriter, LinkReader) {
        let (writer, reader) = self.frames.split();
        (LinkWriter { frames: writer }, LinkReader { frames: reader })
    }

    async fn prove(stream: TcpStream, secrets: &SecretKeyring) -> Result<Self, LinkError> {
        let mut frames = new_frames(stream)?;
        let theirs: [u8; NONCE_BYTES] = decode_frame(frames.next().await)?;
        let nonce: [u8; NONCE_BYTES] = rand::rng().random();
        let hello = Hello { nonce, mac: secrets.sign(&[b"dial", &theirs, &nonce]) };
        frames.send(encode_message(&hello)?).await.map_err(broken)?;
        let mac: [u8; MAC_BYTES] = decode_frame(frames.next().await)?;
        if secrets.find_signer(&[b"accept", &theirs, &nonce], &mac).is_none() {
            return Err(ProtocolError::BadSignature.into());
        }
        Ok(Self { frames: admit_large_frames(frames) })
    }

    async fn demand_proof(stream: TcpStream, secrets: &SecretKeyring) -> Result<Self, LinkError> {
        let mut frames = new_frames(stream)?;
        let nonce: [u8; NONCE_BYTES] = rand::rng().random();
        frames.send(encode_message(&nonce)?).await.map_err(broken)?;
        let hello: Hello = decode_frame(frames.next().await)?;
        let signer = secrets.find_signer(&[b"dial", &nonce, &hello.nonce], &hello.mac);
        let signer = signer.ok_or(ProtocolError::BadSignature)?;
        let mac = secrets.sign_at(signer, &[b"accept", &nonce, &hello.nonce]);
        frames.send(encode_message(&mac)?).await.map_err(broken)?;
        Ok(Self { frames: admit_large_frames(frames) })
    }
}

impl LinkWriter {
    /// Sends a message.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), LinkError> {
        self.frames.send(encode_message(message)?).await.map_err(broken)
    }
}

impl LinkReader {
    /// Receives a message.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, LinkError> {
        decode_frame(self.frames.next().await)
    }

    /// Joins the halves of one connection again.
    pub fn rejoin(self, writer: LinkWriter) -> Option<LinkConnection> {
        let frames = self.frames.reunite(writer.frames).ok()?;
        Some(LinkConnection { frames })
    }
}

async fn within_handshake<T>(
    handshake: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    timeout(HANDSHAKE_TIME, handshake).await.unwrap_or(Err(LinkError::TimedOut))
}

fn new_frames(stream: TcpStream) -> Result<Frames, LinkError> {
    stream.set_nodelay(true).map_err(broken)?;
    let codec =
        LengthDelimitedCodec::builder().max_frame_length(MAX_HANDSHAKE_FRAME_BYTES).new_codec();
    Ok(Framed::new(stream, codec))
}

fn admit_large_frames(mut frames: Frames) -> Frames {
    frames.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
    frames
}

fn decode_frame<T: DeserializeOwned, B: AsRef<[u8]>>(
    frame: Option<Result<B, std::io::Error>>,
) -> Result<T, LinkError> {
    match frame {
        Some(Ok(frame)) => Ok(decode_message(frame.as_ref())?),
        Some(Err(source)) => Err(LinkError::Broken { source }),
        None => Err(LinkError::Closed),
    }
}

fn broken(source: std::io::Error) -> LinkError {
    LinkError::Broken { source }
}
