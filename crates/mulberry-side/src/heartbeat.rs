//! Receives heartbeats from entries.

use std::net::UdpSocket as StdUdpSocket;
use std::sync::Arc;

use actix::Addr;
use tokio::net::UdpSocket;

use mulberry_process::metrics::Metrics;
use mulberry_process::stop::StopSignal;
use mulberry_protocol::auth::SecretKeyring;
use mulberry_protocol::event::Event;
use mulberry_protocol::heartbeat::Heartbeat;
use mulberry_protocol::heartbeat::MAX_DATAGRAM_BYTES;
use mulberry_protocol::heartbeat::decode_heartbeat;
use mulberry_protocol::log_event;

use crate::control::EntryHeartbeatReceived;
use crate::control::SideControl;

/// Receives heartbeats until the process stops. Datagrams without a valid signature, and those from
/// other sides, are counted and dropped.
pub(crate) async fn receive_heartbeats(
    socket: Arc<StdUdpSocket>,
    secrets: SecretKeyring,
    control: Addr<SideControl>,
    metrics: Metrics,
    stop: StopSignal,
) {
    let Some(socket) = socket.try_clone().ok().and_then(|s| UdpSocket::from_std(s).ok()) else {
        return;
    };
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buf) => received,
            () = stop.wait() => return,
        };
        // An error here means that a datagram sent earlier was not delivered, so receiving
        // continues.
        let Ok((bytes, from)) = received else { continue };
        metrics.add("side.beat_bytes_received", bytes as u64);
        match decode_heartbeat(&buf[..bytes], &secrets) {
            Ok(Heartbeat::Entry(heartbeat)) => {
                control.do_send(EntryHeartbeatReceived { heartbeat, from })
            }
            Ok(Heartbeat::Side(_)) => metrics.count_reason("side.datagrams_refused", "side"),
            Err(e) => {
                metrics.count_reason("side.datagrams_refused", "invalid");
                log_event!(debug, Event::DatagramRefused, %from, error = %e);
            }
        }
    }
}
