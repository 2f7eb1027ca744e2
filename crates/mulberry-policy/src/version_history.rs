//! Knows since when each service has run a single software version, so that a stream that was begun
//! since then has its origin without anybody remembering it.

use indexmap::IndexMap;

use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::name::SoftwareVersion;
use mulberry_protocol::time::Millis;

/// The only version of a service.
#[derive(Debug, Clone)]
struct OnlyVersion {
    software: SoftwareVersion,
    since: Millis,
}

/// The services of which one version only has been seen lately.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: IndexMap<ServiceName, OnlyVersion>,
}

impl VersionHistory {
    /// Records all endpoints that are known now.
    pub fn record<'a>(&mut self, endpoints: impl Iterator<Item = &'a EndpointRecord>, now: Millis) {
        let mut versions: IndexMap<&ServiceName, Vec<&SoftwareVersion>> = IndexMap::new();
        for endpoint in endpoints {
            let seen = versions.entry(&endpoint.service).or_default();
            if !seen.contains(&&endpoint.software) {
                seen.push(&endpoint.software);
            }
        }
        for (service, seen) in versions {
            match (seen.as_slice(), self.services.get(service)) {
                ([only], Some(known)) if known.software == **only => {}
                ([only], _) => {
                    let only = OnlyVersion { software: (*only).clone(), since: now };
                    self.services.insert(service.clone(), only);
                }
                (_, _) => {
                    self.services.swap_remove(service);
                }
            }
        }
    }

    /// Forgets everything, since changes of endpoints may have been missed.
    pub fn clear(&mut self) {
        self.services.clear();
    }

    /// Returns the version of a service if it has been the only one for `span_ms` milliseconds.
    pub fn only_version(
        &self,
        service: &ServiceName,
        span_ms: u64,
        now: Millis,
    ) -> Option<&SoftwareVersion> {
        let only = self.services.get(service).filter(|only| now.since(only.since) >= span_ms)?;
        Some(&only.software)
    }
}
