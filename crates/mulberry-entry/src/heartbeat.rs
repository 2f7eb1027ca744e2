//! Receives heartbeats from sides and reads the VM list.

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

use crate::control::SideBeatSeen;
use crate::control::VmListSeen;
use crate::control::list_entries;
use crate::controls::Controls;
use crate::jobs::EntriesSeen;
use crate::shared::Shared;

/// Receives until the process stops. Datagrams that no side signed are counted and dropped.
pub(crate) async fn receive_beats(socket: Arc<StdUdpSocket>, shared: Shared, controls: Controls) {
    let Some(socket) = socket.try_clone().ok().and_then(|s| UdpSocket::from_std(s).ok()) else {
        return;
    };
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buf) => received,
            () = shared.stopped.wait() => return,
        };
        // An error reports an earlier datagram that did not arrive.
        let Ok((bytes, from)) = received else { continue };
        shared.metrics.add("entry.beat_bytes_received", bytes as u64);
        match decode_heartbeat(&buf[..bytes], &shared.secrets) {
            Ok(Heartbeat::Side(beat)) => controls.entry.do_send(SideBeatSeen { beat }),
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

/// Reads the VM list now and then. While it gives no answer, the last one stays in use.
pub(crate) async fn follow_vm_list(shared: Shared, controls: Controls) {
    let list = HttpVmList::new(&shared.settings.vm_list.to_string());
    let every = Duration::from_millis(shared.settings.vm_list_ms);
    loop {
        match list.read().await {
            Ok(VmListRead::Unchanged) => {}
            Ok(VmListRead::Changed(vms)) => {
                let entries = list_entries(&vms).into_iter().map(|place| place.entry).collect();
                controls.jobs.do_send(EntriesSeen { entries });
                controls.entry.do_send(VmListSeen { vms });
            }
            Err(_) => shared.metrics.count("entry.vm_list_failures"),
        }
        tokio::select! {
            () = tokio::time::sleep(every) => {}
            () = shared.stopped.wait() => return,
        }
    }
}
