//! Reads the response to one attempt from a link, one part at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;

use mulberry_link::LinkConnection;
use mulberry_protocol::heartbeat::Suspect;
use mulberry_protocol::link::FromSide;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use crate::link_pool::return_link;

/// Counts a request as in flight at an endpoint until it is dropped.
pub(crate) struct InFlight(Arc<AtomicU32>);

impl InFlight {
    pub fn new(counter: &Arc<AtomicU32>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The refusal that ended an attempt, with the suspects that the side reported.
#[derive(Debug)]
pub(crate) struct AttemptFailure {
    pub refusal: Refusal,
    pub suspects: Vec<Suspect>,
}

impl AttemptFailure {
    pub fn from_refusal(refusal: Refusal) -> Self {
        Self { refusal, suspects: Vec::new() }
    }
}

/// A response whose head has arrived.
pub(crate) struct AttemptResponse {
    pub status: u16,
    pub content_type: String,
    pub attempt: u64,
    /// The link, until the response has ended.
    connection: Option<LinkConnection>,
    address: SocketAddr,
    /// Bytes of the body so far, checked against the length that the side reports at the end.
    received: u64,
    _in_flight: InFlight,
}

impl AttemptResponse {
    /// Waits for the head of the response to `attempt`.
    pub async fn begin(
        mut connection: LinkConnection,
        address: SocketAddr,
        attempt: u64,
        in_flight: InFlight,
    ) -> Result<Self, AttemptFailure> {
        let first = connection.receive::<FromSide>().await;
        match first {
            Ok(FromSide::Head { attempt: answered, status, content_type })
                if answered == attempt =>
            {
                Ok(Self {
                    status,
                    content_type,
                    attempt,
                    connection: Some(connection),
                    address,
                    received: 0,
                    _in_flight: in_flight,
                })
            }
            Ok(FromSide::Refused { attempt: answered, refusal, suspects })
                if answered == attempt =>
            {
                return_link(address, connection);
                Err(AttemptFailure { refusal, suspects })
            }
            Ok(_) => Err(link_failed("the side answered out of turn")),
            Err(e) => Err(link_failed(&e.to_string())),
        }
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(&self) -> bool {
        self.content_type.starts_with("text/event-stream")
    }

    /// Returns the next part of the body, or none once the response is complete.
    pub async fn next_part(&mut self) -> Result<Option<Bytes>, AttemptFailure> {
        let Some(mut connection) = self.connection.take() else { return Ok(None) };
        match connection.receive::<FromSide>().await {
            Ok(FromSide::Data { attempt, body }) if attempt == self.attempt => {
                self.received += body.len() as u64;
                self.connection = Some(connection);
                Ok(Some(body))
            }
            Ok(FromSide::End { attempt, bytes })
                if attempt == self.attempt && bytes == self.received =>
            {
                return_link(self.address, connection);
                Ok(None)
            }
            Ok(FromSide::Refused { attempt, refusal, suspects }) if attempt == self.attempt => {
                return_link(self.address, connection);
                Err(AttemptFailure { refusal, suspects })
            }
            Ok(_) => Err(link_failed("the side answered out of turn")),
            Err(e) => Err(link_failed(&e.to_string())),
        }
    }

    /// Reads the body to its end. Fails if it is larger than `max_bytes`.
    pub async fn read_to_end(&mut self, max_bytes: usize) -> Result<Bytes, AttemptFailure> {
        let mut body = BytesMut::new();
        while let Some(part) = self.next_part().await? {
            if body.len() + part.len() > max_bytes {
                let refusal = Refusal::ran(RefusalReason::TooLarge, "the answer is too large");
                return Err(AttemptFailure::from_refusal(refusal));
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    }
}

fn link_failed(detail: &str) -> AttemptFailure {
    AttemptFailure::from_refusal(Refusal::unknown(RefusalReason::LinkFailed, detail))
}
