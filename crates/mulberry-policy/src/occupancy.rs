//! Counts what is in flight at each endpoint: own requests exactly, those of peers by their datagrams.

use indexmap::IndexMap;

use mulberry_protocol::name::EntryName;
use mulberry_protocol::peer::EndpointLoad;
use mulberry_protocol::time::Millis;

/// What is in flight at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Online requests.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
}

impl Load {
    /// Returns everything in flight.
    pub fn total(self) -> u32 {
        self.online + self.batch
    }
}

/// The class of what is in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadClass {
    /// A caller waits for it.
    Online,
    /// An item of a batch job.
    Batch,
}

#[derive(Debug)]
struct PeerLoads {
    heard_at: Millis,
    /// When the loads no longer count.
    stale_at: Millis,
    incarnation: u64,
    sequence: u64,
    loads: IndexMap<u64, Load>,
}

/// A peer's datagram, as far as it tells of loads.
#[derive(Debug, Clone, Copy)]
pub struct LoadReport<'a> {
    /// Number drawn at the peer's start.
    pub incarnation: u64,
    /// Rises with each datagram of one incarnation.
    pub sequence: u64,
    /// Age up to which the loads count, in milliseconds.
    pub ttl_ms: u64,
    /// What the peer has in flight.
    pub loads: &'a [EndpointLoad],
}

/// What is in flight, as one process knows it.
#[derive(Debug, Default)]
pub struct Occupancy {
    own: IndexMap<u64, Load>,
    peers: IndexMap<EntryName, PeerLoads>,
}

impl Occupancy {
    /// Notes that an own request begins.
    pub fn begin(&mut self, endpoint: u64, class: LoadClass) {
        *self.own_count(endpoint, class) += 1;
    }

    /// Notes that an own request has ended.
    pub fn end(&mut self, endpoint: u64, class: LoadClass) {
        let count = self.own_count(endpoint, class);
        *count = count.saturating_sub(1);
        if self.own.get(&endpoint).is_some_and(|l| l.total() == 0) {
            self.own.swap_remove(&endpoint);
        }
    }

    /// Takes a peer's datagram; older ones than the last are ignored.
    pub fn note_report(&mut self, peer: &EntryName, told: LoadReport<'_>, now: Millis) {
        let stale = self
            .peers
            .get(peer)
            .is_some_and(|p| p.incarnation == told.incarnation && p.sequence >= told.sequence);
        if stale {
            return;
        }
        let loads = told
            .loads
            .iter()
            .map(|l| (l.endpoint, Load { online: l.online.into(), batch: l.batch.into() }))
            .collect();
        let (incarnation, sequence) = (told.incarnation, told.sequence);
        let (heard_at, stale_at) = (now, now + told.ttl_ms);
        let loads = PeerLoads { heard_at, stale_at, incarnation, sequence, loads };
        self.peers.insert(peer.clone(), loads);
    }

    /// Returns what this process has in flight at an endpoint.
    pub fn own_load(&self, endpoint: u64) -> Load {
        self.own.get(&endpoint).copied().unwrap_or_default()
    }

    /// Returns what all processes have in flight at an endpoint.
    pub fn total_load(&self, endpoint: u64, now: Millis) -> Load {
        let mut sum = self.own_load(endpoint);
        for peer in self.peers.values().filter(|p| now < p.stale_at) {
            let load = peer.loads.get(&endpoint).copied().unwrap_or_default();
            sum.online += load.online;
            sum.batch += load.batch;
        }
        sum
    }

    /// Returns the age of the oldest datagram that counts, in milliseconds.
    pub fn max_report_age_ms(&self, now: Millis) -> u64 {
        let counted = self.peers.values().filter(|p| now < p.stale_at);
        counted.map(|p| now.since(p.heard_at)).max().unwrap_or(0)
    }

    /// Lists the own loads for a datagram.
    pub fn own_loads(&self) -> Vec<EndpointLoad> {
        self.own
            .iter()
            .map(|(endpoint, load)| EndpointLoad {
                endpoint: *endpoint,
                online: load.online.min(u16::MAX.into()) as u16,
                batch: load.batch.min(u16::MAX.into()) as u16,
            })
            .collect()
    }

    fn own_count(&mut self, endpoint: u64, class: LoadClass) -> &mut u32 {
        let load = self.own.entry(endpoint).or_default();
        match class {
            LoadClass::Online => &mut load.online,
            LoadClass::Batch => &mut load.batch,
        }
    }
}
