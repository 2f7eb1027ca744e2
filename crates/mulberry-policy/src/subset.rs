//! Chooses which endpoints an entry connects to: a bounded, deterministic, zone-aware subset.
//!
//! Every entry computes the same assignment from the same lists. Rendezvous hashing keeps the
//! change small when an entry or endpoint joins or leaves. Each endpoint is assigned to a fixed
//! number of entries, most of them in its own zone, and each entry gets a minimum number of
//! endpoints of each service.

use mulberry_protocol::digest::stable_hash;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::name::ZoneName;

/// The name and zone of an entry VM, from the VM list.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryPlace {
    /// Name of the VM.
    pub entry: EntryName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
}

/// The name, zone and service of an endpoint VM, from the VM list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointPlace {
    /// Name of the VM.
    pub endpoint: EndpointName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Service that it serves.
    pub service: ServiceName,
}

/// Numbers that bound each endpoint's entries and each entry's endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubsetSizes {
    /// Entries of its own zone that each endpoint is assigned to.
    pub near_entries: usize,
    /// Entries of other zones that each endpoint is assigned to.
    pub far_entries: usize,
    /// Fewest endpoints of each service that each entry gets, if there are as many.
    pub min_endpoints: usize,
}

impl Default for SubsetSizes {
    fn default() -> Self {
        Self { near_entries: 3, far_entries: 1, min_endpoints: 4 }
    }
}

/// Returns the indices into `endpoints` of those that `own` connects to, in rising order.
pub fn choose_subset(
    own: &EntryPlace,
    entries: &[EntryPlace],
    endpoints: &[EndpointPlace],
    sizes: SubsetSizes,
) -> Vec<usize> {
    let mut chosen: Vec<bool> =
        endpoints.iter().map(|e| is_assigned(own, entries, e, sizes)).collect();
    let mut services: Vec<&ServiceName> = endpoints.iter().map(|e| &e.service).collect();
    services.sort();
    services.dedup();
    for service in services {
        fill_to_minimum(own, endpoints, service, sizes.min_endpoints, &mut chosen);
    }
    (0..endpoints.len()).filter(|&i| chosen[i]).collect()
}

/// Returns whether the endpoint is assigned to `own`.
fn is_assigned(
    own: &EntryPlace,
    entries: &[EntryPlace],
    endpoint: &EndpointPlace,
    sizes: SubsetSizes,
) -> bool {
    let own_is_near = own.zone == endpoint.zone;
    let max_entries = if own_is_near { sizes.near_entries } else { sizes.far_entries };
    let own_rank = rank_key(&own.entry, &endpoint.endpoint);
    let ranked_before = entries
        .iter()
        .filter(|e| (e.zone == endpoint.zone) == own_is_near && e.entry != own.entry)
        .filter(|e| rank_key(&e.entry, &endpoint.endpoint) < own_rank)
        .take(max_entries)
        .count();
    ranked_before < max_entries
}

/// Marks further endpoints of a service as chosen until there are `min_endpoints`, and one of
/// another zone in any case if there is one.
fn fill_to_minimum(
    own: &EntryPlace,
    endpoints: &[EndpointPlace],
    service: &ServiceName,
    min_endpoints: usize,
    chosen: &mut [bool],
) {
    let of_service = |i: &usize| endpoints[*i].service == *service;
    let chosen_count = (0..endpoints.len()).filter(of_service).filter(|&i| chosen[i]).count();
    let mut rest: Vec<usize> =
        (0..endpoints.len()).filter(of_service).filter(|&i| !chosen[i]).collect();
    let mut wanted = min_endpoints.saturating_sub(chosen_count).min(rest.len());
    // Endpoints of the entry's zone go first, but one of another zone is always chosen, so that the
    // service survives the loss of the entry's zone.
    rest.sort_by_key(|&i| {
        (endpoints[i].zone != own.zone, rank_key(&own.entry, &endpoints[i].endpoint))
    });
    let has_other_zone =
        (0..endpoints.len()).filter(of_service).any(|i| chosen[i] && endpoints[i].zone != own.zone);
    let first_other_zone = rest.iter().position(|&i| endpoints[i].zone != own.zone);
    if let (false, Some(position)) = (has_other_zone, first_other_zone) {
        let index = rest.remove(position);
        chosen[index] = true;
        wanted = wanted.saturating_sub(1);
    }
    for &i in rest.iter().take(wanted) {
        chosen[i] = true;
    }
}

/// Returns the rendezvous hash of an entry and an endpoint. Pairs with lower hashes are preferred.
fn rank_key(entry: &EntryName, endpoint: &EndpointName) -> u64 {
    let seed = stable_hash(endpoint.as_str().as_bytes(), 0);
    stable_hash(entry.as_str().as_bytes(), seed)
}
