//! A connection between two processes: the handshake that authenticates it, and its messages.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::SinkExt;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
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

/// Time allowed for connecting, and again for the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest frame accepted before the peer is authenticated, in bytes.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 64;

/// Bytes of the length before each frame.
const FRAME_PREFIX_BYTES: usize = 4;

/// Interval at which the rest of a length is looked for, which hardly ever comes apart.
const PREFIX_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Time within which the rest of a length must arrive. A peer that sends less and stops, or closes the
/// connection, would otherwise keep its task polling.
const PREFIX_TIMEOUT: Duration = Duration::from_secs(2);

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// A connection whose two ends have authenticated each other.
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
    /// Whether the peer has sent a sign of life, and is expected to go on.
    shows_life: bool,
}

impl LinkConnection {
    /// Connects to a peer. Both ends prove that they hold a secret of the deployment.
    pub async fn connect(address: SocketAddr, secrets: &SecretKeyring) -> Result<Self, LinkError> {
        let connected = timeout(HANDSHAKE_TIMEOUT, TcpStream::connect(address)).await;
        let stream = match connected {
            Ok(stream) => stream.map_err(|source| LinkError::Connect { source })?,
            Err(_) => return Err(LinkError::Connect { source: ErrorKind::TimedOut.into() }),
        };
        with_handshake_timeout(Self::connect_handshake(stream, secrets)).await
    }

    /// Accepts a connection. Both ends prove that they hold a secret of the deployment.
    pub async fn accept(stream: TcpStream, secrets: &SecretKeyring) -> Result<Self, LinkError> {
        with_handshake_timeout(Self::accept_handshake(stream, secrets)).await
    }

    /// Sends a message.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), LinkError> {
        self.frames.send(encode_message(message)?).await.map_err(broken_link)
    }

    /// Sends a sign of life: an empty frame, which the peer passes over. It tells a peer that waits for a
    /// message that the connection still carries something.
    pub async fn send_alive(&mut self) -> Result<(), LinkError> {
        self.frames.send(Bytes::new()).await.map_err(broken_link)
    }

    /// Receives a message.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, LinkError> {
        self.receive_heard(|| {}).await
    }

    /// Receives a message, and calls `heard` at each sign of life before it.
    pub async fn receive_heard<T: DeserializeOwned>(
        &mut self,
        heard: impl FnMut(),
    ) -> Result<T, LinkError> {
        receive_message(&mut self.frames, heard).await
    }

    /// Waits for a message and returns its size in bytes, without reading it. The message before it must
    /// have been answered.
    pub async fn next_size(&self) -> Result<usize, LinkError> {
        let mut prefix = [0; FRAME_PREFIX_BYTES];
        let mut began = None;
        loop {
            let peeked = self.frames.get_ref().peek(&mut prefix).await;
            match peeked.map_err(broken_link)? {
                0 => return Err(LinkError::Closed),
                FRAME_PREFIX_BYTES => return Ok(u32::from_be_bytes(prefix) as usize),
                _ => {
                    let began = *began.get_or_insert_with(Instant::now);
                    if began.elapsed() > PREFIX_TIMEOUT {
                        return Err(LinkError::Closed);
                    }
                    sleep(PREFIX_POLL_INTERVAL).await;
                }
            }
        }
    }

    /// Returns whether an idle connection can't be used again, because the peer has closed it or
    /// sent an unexpected message.
    pub fn is_stale(&self) -> bool {
        let mut byte = [0];
        let nothing_to_read = self
            .frames
            .get_ref()
            .try_read(&mut byte)
            .is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
        !nothing_to_read
    }

    /// Splits the connection into halves that can send and receive at the same time.
    pub fn split(self) -> (LinkWriter, LinkReader) {
        let (writer, reader) = self.frames.split();
        (LinkWriter { frames: writer }, LinkReader { frames: reader, shows_life: false })
    }

    /// Runs the handshake of the connecting end: sends a signature of both nonces, and checks the
    /// peer's.
    async fn connect_handshake(
        stream: TcpStream,
        secrets: &SecretKeyring,
    ) -> Result<Self, LinkError> {
        let mut frames = frame_stream(stream)?;
        let peer_nonce: [u8; NONCE_BYTES] = decode_frame(frames.next().await)?;
        let nonce: [u8; NONCE_BYTES] = rand::rng().random();
        let hello = Hello { nonce, mac: secrets.sign(&[b"dial", &peer_nonce, &nonce]) };
        frames.send(encode_message(&hello)?).await.map_err(broken_link)?;
        let mac: [u8; MAC_BYTES] = decode_frame(frames.next().await)?;
        if secrets.find_signer(&[b"accept", &peer_nonce, &nonce], &mac).is_none() {
            return Err(ProtocolError::BadSignature.into());
        }
        Ok(Self { frames: raise_frame_limit(frames) })
    }

    /// Runs the handshake of the accepting end: sends a nonce, checks the peer's signature of both
    /// nonces, and answers with one made with the same secret.
    async fn accept_handshake(
        stream: TcpStream,
        secrets: &SecretKeyring,
    ) -> Result<Self, LinkError> {
        let mut frames = frame_stream(stream)?;
        let nonce: [u8; NONCE_BYTES] = rand::rng().random();
        frames.send(encode_message(&nonce)?).await.map_err(broken_link)?;
        let hello: Hello = decode_frame(frames.next().await)?;
        let signer = secrets.find_signer(&[b"dial", &nonce, &hello.nonce], &hello.mac);
        let signer = signer.ok_or(ProtocolError::BadSignature)?;
        let mac = secrets.sign_at(signer, &[b"accept", &nonce, &hello.nonce]);
        frames.send(encode_message(&mac)?).await.map_err(broken_link)?;
        Ok(Self { frames: raise_frame_limit(frames) })
    }
}

impl LinkWriter {
    /// Sends a message.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), LinkError> {
        self.frames.send(encode_message(message)?).await.map_err(broken_link)
    }

    /// Sends a sign of life, as [`LinkConnection::send_alive`] does.
    pub async fn send_alive(&mut self) -> Result<(), LinkError> {
        self.frames.send(Bytes::new()).await.map_err(broken_link)
    }
}

impl LinkReader {
    /// Receives a message.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, LinkError> {
        self.receive_heard(|| {}).await
    }

    /// Receives a message, and calls `heard` at each sign of life before it.
    pub async fn receive_heard<T: DeserializeOwned>(
        &mut self,
        heard: impl FnMut(),
    ) -> Result<T, LinkError> {
        receive_message(&mut self.frames, heard).await
    }

    /// Receives a message, and calls `heard` at each sign of life before it. Once the peer has sent one, fails if
    /// nothing comes from it for the limit; a peer of an earlier build sends none, and is waited for.
    pub async fn receive_while_alive<T: DeserializeOwned>(
        &mut self,
        limit: Duration,
        mut heard: impl FnMut(),
    ) -> Result<T, LinkError> {
        loop {
            let next = self.frames.next();
            let frame = match self.shows_life {
                true => timeout(limit, next).await.map_err(|_| LinkError::TimedOut)?,
                false => next.await,
            };
            match frame {
                Some(Ok(frame)) if frame.is_empty() => {
                    self.shows_life = true;
                    heard();
                }
                frame => return decode_frame(frame),
            }
        }
    }

    /// Puts the halves of a connection together again. Returns none if they belong to different
    /// ones.
    pub fn reunite(self, writer: LinkWriter) -> Option<LinkConnection> {
        let frames = self.frames.reunite(writer.frames).ok()?;
        Some(LinkConnection { frames })
    }
}

/// Runs a handshake with a limit of [`HANDSHAKE_TIMEOUT`].
async fn with_handshake_timeout<T>(
    handshake: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    timeout(HANDSHAKE_TIMEOUT, handshake).await.unwrap_or(Err(LinkError::TimedOut))
}

/// Frames a new connection, with the frame limit for peers that are not authenticated.
fn frame_stream(stream: TcpStream) -> Result<Frames, LinkError> {
    stream.set_nodelay(true).map_err(broken_link)?;
    let codec =
        LengthDelimitedCodec::builder().max_frame_length(MAX_HANDSHAKE_FRAME_BYTES).new_codec();
    Ok(Framed::new(stream, codec))
}

/// Sets the frame limit for authenticated peers.
fn raise_frame_limit(mut frames: Frames) -> Frames {
    frames.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
    frames
}

/// Receives the next frame that is no sign of life.
async fn receive_message<T: DeserializeOwned>(
    frames: &mut (impl Stream<Item = Result<BytesMut, std::io::Error>> + Unpin),
    mut heard: impl FnMut(),
) -> Result<T, LinkError> {
    loop {
        match frames.next().await {
            Some(Ok(frame)) if frame.is_empty() => heard(),
            frame => return decode_frame(frame),
        }
    }
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

fn broken_link(source: std::io::Error) -> LinkError {
    LinkError::Broken { source }
}
