//! Receives heartbeats from sides and polls the VM list.

use std::net::UdpSocket as StdUdpSocket;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;

use mulberry_platform::vm_list::HttpVmList;
use mulberry_platform::vm_list::VmList;
use mulberry_platform::vm_list::VmListRead;
use mulberry_protocol::event::Event;
use mulberry_protocol::heartbeat::Heartbeat;
use mulberry_protocol::heartbeat::MAX_DATAGRAM_BYTES;
use mulberry_protocol::heartbeat::decode_heartbeat;
use mulberry_protocol::log_event;

use crate::actors::ControlActors;
use crate::control::SideHeartbeatReceived;
use crate::control::VmListChanged;
use crate::control::live_entries;
use crate::jobs::SetEntries;
use crate::shared::Shared;

/// Receives heartbeats until the process stops. Datagrams without a valid signature of a side are
/// counted and dropped.
pub(crate) async fn receive_heartbeats(
    socket: Arc<StdUdpSocket>,
    shared: Shared,
    actors: ControlActors,
) {
    let Some(socket) = socket.try_clone().ok().and_then(|s| UdpSocket::from_std(s).ok()) else {
        return;
    };
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buf) => received,
            () = shared.stopped.wait() => return,
        };
        // On a UDP socket, an error reports an earlier datagram that could not be delivered.
        let Ok((bytes, from)) = received else { continue };
        shared.metrics.add("entry.beat_bytes_received", bytes as u64);
        match decode_heartbeat(&buf[..bytes], &shared.secrets) {
            Ok(Heartbeat::Side(heartbeat)) => {
                actors.entry.do_send(SideHeartbeatReceived { heartbeat })
            }
            Ok(Heartbeat::Entry(_)) => {
                shared.metrics.count_reason("entry.datagrams_refused", "entry");
            }
            Err(e) => {
                shared.metrics.count_reason("entry.datagrams_refused", "invalid");
                log_event!(debug, Event::DatagramRefused, %from, error = %e);
            }
        }
    }
}

/// Reads the VM list at a fixed interval until the process stops. While reads fail, the last list
/// stays in use.
pub(crate) async fn poll_vm_list(shared: Shared, actors: ControlActors) {
    let list = HttpVmList::new(&shared.settings.vm_list.to_string());
    let interval = Duration::from_millis(shared.settings.vm_list_ms);
    loop {
        match list.read().await {
            Ok(VmListRead::Unchanged) => {}
            Ok(VmListRead::Changed(vms)) => {
                let entries = live_entries(&vms).into_iter().map(|place| place.entry).collect();
                actors.jobs.do_send(SetEntries { entries });
                actors.entry.do_send(VmListChanged { vms });
            }
            Err(_) => shared.metrics.count("entry.vm_list_failures"),
        }
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = shared.stopped.wait() => return,
        }
    }
}
