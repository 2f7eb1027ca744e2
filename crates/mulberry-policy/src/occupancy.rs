//! Counts the requests in flight at each endpoint: this process's own exactly, those of its peers
//! as their datagrams last reported them.

use indexmap::IndexMap;

use mulberry_protocol::name::EntryName;
use mulberry_protocol::peer::EndpointLoad;
use mulberry_protocol::time::Millis;

/// Numbers of requests in flight at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Online requests.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
}

impl Load {
    /// Returns the number of online requests and batch items together.
    pub fn total(self) -> u32 {
        self.online + self.batch
    }
}

/// Whether a request in flight is online or batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadClass {
    /// An online request, whose caller waits for the response.
    Online,
    /// An item of a batch job.
    Batch,
}

/// The loads that a peer last reported.
#[derive(Debug)]
struct PeerLoads {
    heard_at: Millis,
    /// When the loads no longer count.
    stale_at: Millis,
    incarnation: u64,
    sequence: u64,
    loads: IndexMap<u64, Load>,
}

/// The part of a peer's datagram that reports its loads.
#[derive(Debug, Clone, Copy)]
pub struct LoadReport<'a> {
    /// Random number drawn at the peer's start.
    pub incarnation: u64,
    /// Number of the datagram, which rises within an incarnation.
    pub sequence: u64,
    /// Age of the report up to which its loads count, in milliseconds.
    pub ttl_ms: u64,
    /// What the peer has in flight at each endpoint.
    pub loads: &'a [EndpointLoad],
}

/// The requests in flight at all endpoints, as one process knows them.
#[derive(Debug, Default)]
pub struct Occupancy {
    own: IndexMap<u64, Load>,
    peers: IndexMap<EntryName, PeerLoads>,
    /// Sums of the loads of all peers, kept as they change.
    peer_sums: IndexMap<u64, Load>,
    /// When the first of the peers' loads no longer counts.
    next_stale_at: Option<Millis>,
}

impl Occupancy {
    /// Records that a request of this process begins.
    pub fn begin(&mut self, endpoint: u64, class: LoadClass) {
        *self.own_count_mut(endpoint, class) += 1;
    }

    /// Records that a request of this process has ended.
    pub fn end(&mut self, endpoint: u64, class: LoadClass) {
        let count = self.own_count_mut(endpoint, class);
        *count = count.saturating_sub(1);
        if self.own.get(&endpoint).is_some_and(|l| l.total() == 0) {
            self.own.swap_remove(&endpoint);
        }
    }

    /// Records a peer's report. One that is older than the last one of the same incarnation is
    /// ignored.
    pub fn record_report(&mut self, peer: &EntryName, report: LoadReport<'_>, now: Millis) {
        let stale = self
            .peers
            .get(peer)
            .is_some_and(|p| p.incarnation == report.incarnation && p.sequence >= report.sequence);
        if stale {
            return;
        }
        let loads: IndexMap<u64, Load> = report
            .loads
            .iter()
            .map(|l| (l.endpoint, Load { online: l.online.into(), batch: l.batch.into() }))
            .collect();
        for (endpoint, load) in &loads {
            let sum = self.peer_sums.entry(*endpoint).or_default();
            sum.online += load.online;
            sum.batch += load.batch;
        }
        let (incarnation, sequence) = (report.incarnation, report.sequence);
        let (heard_at, stale_at) = (now, now + report.ttl_ms);
        let loads = PeerLoads { heard_at, stale_at, incarnation, sequence, loads };
        let previous = self.peers.insert(peer.clone(), loads);
        previous.iter().for_each(|p| subtract(&mut self.peer_sums, &p.loads));
        self.next_stale_at = Some(self.next_stale_at.map_or(stale_at, |at| at.min(stale_at)));
    }

    /// Returns what this process has in flight at an endpoint.
    pub fn own_load(&self, endpoint: u64) -> Load {
        self.own.get(&endpoint).copied().unwrap_or_default()
    }

    /// Returns what all processes have in flight at an endpoint.
    pub fn total_load(&mut self, endpoint: u64, now: Millis) -> Load {
        self.drop_stale(now);
        let own = self.own_load(endpoint);
        let peers = self.peer_sums.get(&endpoint).copied().unwrap_or_default();
        Load { online: own.online + peers.online, batch: own.batch + peers.batch }
    }

    /// Forgets the loads that no longer count. What shows that a report is an old one stays.
    fn drop_stale(&mut self, now: Millis) {
        if self.next_stale_at.is_none_or(|at| now < at) {
            return;
        }
        for peer in self.peers.values_mut().filter(|p| p.stale_at <= now) {
            subtract(&mut self.peer_sums, &std::mem::take(&mut peer.loads));
        }
        let current = self.peers.values().map(|p| p.stale_at).filter(|at| *at > now);
        self.next_stale_at = current.min();
    }

    /// Returns the age of the oldest report that still counts, in milliseconds, or zero if there is
    /// none.
    pub fn max_report_age_ms(&self, now: Millis) -> u64 {
        let current = self.peers.values().filter(|p| now < p.stale_at);
        current.map(|p| now.since(p.heard_at)).max().unwrap_or(0)
    }

    /// Returns what this process has in flight at each endpoint, to report to its peers.
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

    fn own_count_mut(&mut self, endpoint: u64, class: LoadClass) -> &mut u32 {
        let load = self.own.entry(endpoint).or_default();
        match class {
            LoadClass::Online => &mut load.online,
            LoadClass::Batch => &mut load.batch,
        }
    }
}

/// Takes a peer's loads out of the sums.
fn subtract(sums: &mut IndexMap<u64, Load>, loads: &IndexMap<u64, Load>) {
    for (endpoint, load) in loads {
        let Some(sum) = sums.get_mut(endpoint) else { continue };
        sum.online = sum.online.saturating_sub(load.online);
        sum.batch = sum.batch.saturating_sub(load.batch);
        if sum.total() == 0 {
            sums.swap_remove(endpoint);
        }
    }
}
