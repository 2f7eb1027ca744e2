//! Chooses which endpoints an entry talks to: a bounded, deterministic, zone-aware subset.
//!
//! Every entry computes the same assignment from the same lists. Rendezvous hashing keeps the
//! change small when one member changes. Each endpoint is given a fixed number of entries, most of
//! them in its own zone, and each entry a minimum number of endpoints of each service.

use mulberry_protocol::digest::stable_hash;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::name::ZoneName;

/// An entry VM as the VM list shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryPlace {
    /// Its name.
    pub entry: EntryName,
    /// Its zone.
    pub zone: ZoneName,
}

/// An endpoint VM as the VM list shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointPlace {
    /// Its name.
    pub endpoint: EndpointName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its service.
    pub service: ServiceName,
}

/// Sizes of the subsets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubsetSizes {
    /// Entries of its own zone that each endpoint is given.
    pub near_entries: usize,
    /// Entries of other zones that each endpoint is given.
    pub far_entries: usize,
    /// Endpoints of each service that each entry has at least.
    pub min_endpoints: usize,
}

impl Default for SubsetSizes {
    fn default() -> Self {
        Self { near_entries: 3, far_entries: 1, min_endpoints: 4 }
    }
}

/// Returns the indices into `endpoints` that `own` talks to, in rising order.
pub fn choose_subset(
    own: &EntryPlace,
    entries: &[EntryPlace],
    endpoints: &[EndpointPlace],
    sizes: SubsetSizes,
) -> Vec<usize> {
    let mut chosen: Vec<bool> =
        endpoints.iter().map(|e| is_given(own, entries, e, sizes)).collect();
    let mut services: Vec<&ServiceName> = endpoints.iter().map(|e| &e.service).collect();
    services.sort();
    services.dedup();
    for service in services {
        fill_service(own, endpoints, service, sizes.min_endpoints, &mut chosen);
    }
    (0..endpoints.len()).filter(|&i| chosen[i]).collect()
}

/// Tells whether `own` is among the entries that the endpoint is given.
fn is_given(
    own: &EntryPlace,
    entries: &[EntryPlace],
    endpoint: &EndpointPlace,
    sizes: SubsetSizes,
) -> bool {
    let own_is_near = own.zone == endpoint.zone;
    let quota = if own_is_near { sizes.near_entries } else { sizes.far_entries };
    let own_rank = rank_key(&own.entry, &endpoint.endpoint);
    let better = entries
        .iter()
        .filter(|e| (e.zone == endpoint.zone) == own_is_near && e.entry != own.entry)
        .filter(|e| rank_key(&e.entry, &endpoint.endpoint) < own_rank)
        .take(quota)
        .count();
    better < quota
}

fn fill_service(
    own: &EntryPlace,
    endpoints: &[EndpointPlace],
    service: &ServiceName,
    min_endpoints: usize,
    chosen: &mut [bool],
) {
    let of_service = |i: &usize| endpoints[*i].service == *service;
    let have = (0..endpoints.len()).filter(of_service).filter(|&i| chosen[i]).count();
    let mut rest: Vec<usize> =
        (0..endpoints.len()).filter(of_service).filter(|&i| !chosen[i]).collect();
    let mut wanted = min_endpoints.saturating_sub(have).min(rest.len());
    // Near endpoints go first, but one far one is always there to survive the loss of the zone.
    rest.sort_by_key(|&i| {
        (endpoints[i].zone != own.zone, rank_key(&own.entry, &endpoints[i].endpoint))
    });
    let has_far =
        (0..endpoints.len()).filter(of_service).any(|i| chosen[i] && endpoints[i].zone != own.zone);
    let first_far = rest.iter().position(|&i| endpoints[i].zone != own.zone);
    if let (false, Some(position)) = (has_far, first_far) {
        let index = rest.remove(position);
        chosen[index] = true;
        wanted = wanted.saturating_sub(1);
    }
    for &i in rest.iter().take(wanted) {
        chosen[i] = true;
    }
}

fn rank_key(entry: &EntryName, endpoint: &EndpointName) -> u64 {
    let seed = stable_hash(endpoint.as_str().as_bytes(), 0);
    stable_hash(entry.as_str().as_bytes(), seed)
}
