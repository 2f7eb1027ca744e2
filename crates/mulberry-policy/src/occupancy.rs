//! Counts the requests in flight at each endpoint: this process's own exactly, those of its peers
//! as their datagrams last reported them.

use indexmap::IndexMap;

use mulberry_protocol::name::EntryName;
use mulberry_protocol::peer::EndpointLoad;
use mulberry_protocol::time::Millis;

use crate::expected_wait::kept_share;

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
    /// Sum of the loads.
    total: u32,
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

/// How far what was expected of a peer was off when its next report arrived.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReportError {
    /// Requests and items that the peer reports.
    pub reported: u32,
    /// Sum over the endpoints of the difference between the reported and the expected number.
    pub misjudged: f64,
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
        let total = loads.values().map(|l| l.total()).sum();
        let loads = PeerLoads { heard_at, stale_at, incarnation, sequence, loads, total };
        let previous = self.peers.insert(peer.clone(), loads);
        previous.iter().for_each(|p| subtract(&mut self.peer_sums, &p.loads));
        self.next_stale_at = Some(self.next_stale_at.map_or(stale_at, |at| at.min(stale_at)));
    }

    /// Returns how far what is expected of a peer, by its last report, is off what it reports now. With
    /// `run_ms`, the mean time of a run, the last report counts less the older it is.
    pub fn report_error(
        &self,
        peer: &EntryName,
        loads: &[EndpointLoad],
        run_ms: Option<f64>,
        now: Millis,
    ) -> ReportError {
        let total = |load: &EndpointLoad| u32::from(load.online) + u32::from(load.batch);
        let reported = loads.iter().map(total).sum();
        let Some(last) = self.peers.get(peer).filter(|p| now < p.stale_at) else {
            return ReportError { reported, misjudged: f64::from(reported) };
        };
        let unnamed = last.loads.keys().filter(|key| !loads.iter().any(|l| l.endpoint == **key));
        let count = loads.len() + unnamed.clone().count();
        let mean = f64::from(last.total) / count.max(1) as f64;
        let kept = kept_share(now.since(last.heard_at) as f64, run_ms);
        let expected = |key: &u64| {
            let before = last.loads.get(key).map_or(0.0, |load| f64::from(load.total()));
            mean + (before - mean) * kept
        };
        let of_reported = loads.iter().map(|l| (f64::from(total(l)) - expected(&l.endpoint)).abs());
        let misjudged = of_reported.sum::<f64>() + unnamed.map(expected).sum::<f64>();
        ReportError { reported, misjudged }
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
            peer.total = 0;
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

    /// Returns the mean age of the requests and items that peers have reported and that still count, in
    /// milliseconds, or zero if there are none.
    pub fn mean_report_age_ms(&self, now: Millis) -> f64 {
        let current = || self.peers.values().filter(|p| now < p.stale_at);
        let total: f64 = current().map(|p| f64::from(p.total)).sum();
        let ages = current().map(|p| f64::from(p.total) * now.since(p.heard_at) as f64);
        ages.sum::<f64>() / total.max(1.0)
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
