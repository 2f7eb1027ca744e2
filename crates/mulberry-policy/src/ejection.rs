//! Takes endpoints out of routing for a while after several failures in a row.
//!
//! Each further ejection of an endpoint lasts longer. Only a share of the endpoints is ejected at
//! once.

use indexmap::IndexMap;

use mulberry_protocol::name::EndpointName;
use mulberry_protocol::time::Millis;

/// Consecutive failures after which an endpoint is ejected.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 3;

/// Length of the first ejection in milliseconds; each further one doubles it.
const FIRST_EJECTION_MS: u64 = 2_000;

/// Longest ejection in milliseconds.
const MAX_EJECTION_MS: u64 = 30_000;

/// Largest share of the known endpoints that may be ejected at once.
const MAX_EJECTED_SHARE: f64 = 0.34;

/// Recent failures and ejections of one endpoint.
#[derive(Debug, Clone, Default)]
struct EndpointHealth {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Millis>,
}

/// Tracks the failures and ejections of endpoints.
#[derive(Debug, Default)]
pub struct Ejector {
    health: IndexMap<EndpointName, EndpointHealth>,
}

impl Ejector {
    /// Records a response of any status, which shows that the endpoint works.
    pub fn record_success(&mut self, endpoint: &EndpointName) {
        if let Some(health) = self.health.get_mut(endpoint) {
            health.consecutive_failures = 0;
            if health.ejected_until.is_none() {
                health.ejections = 0;
            }
        }
    }

    /// Records a failure of one of `known` endpoints. If it ejects the endpoint, returns the length
    /// of the ejection in milliseconds.
    pub fn record_failure(
        &mut self,
        endpoint: &EndpointName,
        known: usize,
        now: Millis,
    ) -> Option<u64> {
        let ejected_count = self.ejected_count(now);
        let allowed = ejected_count < (known as f64 * MAX_EJECTED_SHARE) as usize;
        let health = self.health.entry(endpoint.clone()).or_default();
        health.consecutive_failures += 1;
        let is_ejected = health.ejected_until.is_some_and(|until| until > now);
        if health.consecutive_failures < CONSECUTIVE_FAILURES_TO_EJECT || is_ejected || !allowed {
            return None;
        }
        let duration_ms = FIRST_EJECTION_MS.saturating_mul(1 << health.ejections.min(10));
        let duration_ms = duration_ms.min(MAX_EJECTION_MS);
        health.ejections += 1;
        health.consecutive_failures = 0;
        health.ejected_until = Some(now + duration_ms);
        Some(duration_ms)
    }

    /// Returns whether the endpoint is ejected at `now`.
    pub fn is_ejected(&self, endpoint: &EndpointName, now: Millis) -> bool {
        let until = self.health.get(endpoint).and_then(|h| h.ejected_until);
        until.is_some_and(|until| until > now)
    }

    /// Drops the records of endpoints for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&EndpointName) -> bool) {
        self.health.retain(|name, _| keep(name));
    }

    fn ejected_count(&self, now: Millis) -> usize {
        self.health.values().filter(|h| h.ejected_until.is_some_and(|u| u > now)).count()
    }
}
