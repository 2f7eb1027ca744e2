//! Keeps the endpoints that are registered in the store, with a grace period for those that
//! disappear.
//!
//! Registrations expire while the store is unavailable for long, although their endpoints still run. Such
//! endpoints stay in use for a grace period after the store's recovery, in which they can register
//! again. A shorter grace period applies when many ready endpoints disappear at once, which is more
//! likely a fault of the store than of the endpoints.

use indexmap::IndexMap;

use mulberry_protocol::closed_set;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::endpoint::EndpointState;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::time::Millis;

/// Time after the store's recovery in which a missing endpoint may register again, in milliseconds.
pub const REREGISTRATION_GRACE_MS: u64 = 2_200;

/// Time for which endpoints that disappear at once stay in use, in milliseconds. If they were really
/// removed, they serve on for little longer.
pub const MASS_LOSS_GRACE_MS: u64 = 1_500;

/// Time without a response of the store from which registrations may have lapsed meanwhile, in
/// milliseconds. They lapse after several missed heartbeats, the first of which may be due at once.
pub const MIN_OUTAGE_MS: u64 = 2_000;

/// Share of the ready endpoints above which a disappearance at once counts as a mass loss.
const MASS_LOSS_SHARE: f64 = 0.25;

/// Fewest ready endpoints whose disappearance at once counts as a mass loss.
const MASS_LOSS_MIN: usize = 3;

closed_set! {
    /// Why endpoints that disappeared stay in use for a while.
    pub enum GraceCause {
        /// The store was away.
        Outage,
        /// Many disappeared at once.
        MassLoss,
    }
}

impl GraceCause {
    /// Returns the cause's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            GraceCause::Outage => "outage",
            GraceCause::MassLoss => "mass-loss",
        }
    }
}

/// An endpoint that disappeared and stays in use for a grace period.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptEndpoint {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// End of the grace period.
    pub until: Millis,
    /// Why it stays in use.
    pub cause: GraceCause,
}

/// The registered endpoints that a process knows.
#[derive(Debug, Default)]
pub struct EndpointRegistry {
    endpoints: IndexMap<EndpointName, EndpointRecord>,
    /// Endpoints that are no longer registered but still used, each with the end of its grace
    /// period.
    missing: IndexMap<EndpointName, Millis>,
    store_unavailable: bool,
    /// When the store last answered.
    answered_at: Option<Millis>,
    grace_until: Millis,
    grace_cause: Option<GraceCause>,
    /// When the store last stopped answering, if that is not known to have had no effect yet.
    stale_since: Option<Millis>,
}

impl EndpointRegistry {
    /// Records that the store did not answer.
    pub fn record_store_failure(&mut self, now: Millis) {
        if self.stale_since(now).is_none() {
            self.stale_since = Some(now);
        }
        self.store_unavailable = true;
    }

    /// Returns since when changes of endpoints may have been missed: from an outage of the store until
    /// the end of the grace period after it.
    pub fn stale_since(&self, now: Millis) -> Option<Millis> {
        self.stale_since.filter(|_| self.store_unavailable || now < self.grace_until)
    }

    /// Records a response of the store. The first one after an outage in which registrations may have
    /// lapsed begins the grace period; a single lost answer is none.
    pub fn record_store_response(&mut self, now: Millis) {
        let answered_at = self.answered_at.replace(now);
        let was_unavailable = std::mem::replace(&mut self.store_unavailable, false);
        let is_outage = answered_at.is_none_or(|at| now.since(at) >= MIN_OUTAGE_MS);
        if was_unavailable && is_outage {
            self.grace_until = now + REREGISTRATION_GRACE_MS;
            self.grace_cause = Some(GraceCause::Outage);
        }
    }

    /// Applies a complete list. Known endpoints that are not in it are removed as by
    /// [`Self::remove_all`].
    pub fn replace_all(&mut self, listed: Vec<EndpointRecord>, now: Millis) -> Vec<KeptEndpoint> {
        let names: Vec<EndpointName> = listed.iter().map(|e| e.name.clone()).collect();
        let unlisted: Vec<EndpointName> =
            self.endpoints.keys().filter(|n| !names.contains(n)).cloned().collect();
        for endpoint in listed {
            self.put(endpoint);
        }
        self.remove_all(&unlisted, now)
    }

    /// Adds or updates one endpoint.
    pub fn put(&mut self, endpoint: EndpointRecord) {
        self.missing.shift_remove(&endpoint.name);
        self.endpoints.insert(endpoint.name.clone(), endpoint);
    }

    /// Removes endpoints that disappeared from the store at the same time. Within a grace period,
    /// those that were ready stay in use until it ends. Returns those that are kept from now on.
    pub fn remove_all(&mut self, names: &[EndpointName], now: Millis) -> Vec<KeptEndpoint> {
        let ready = self.endpoints.values().filter(|e| e.state == EndpointState::Ready).count();
        let newly_missing =
            names.iter().filter(|n| self.is_ready(n) && !self.missing.contains_key(*n));
        let newly_missing = newly_missing.count();
        if newly_missing >= MASS_LOSS_MIN && newly_missing as f64 > ready as f64 * MASS_LOSS_SHARE {
            self.grace_until = self.grace_until.max(now + MASS_LOSS_GRACE_MS);
            self.grace_cause = Some(GraceCause::MassLoss);
        }
        let mut kept = Vec::new();
        for name in names {
            let cause = self.grace_cause.filter(|_| self.is_ready(name) && now < self.grace_until);
            match cause {
                Some(_) if self.missing.contains_key(name) => {}
                Some(cause) => {
                    let until = self.grace_until;
                    self.missing.insert(name.clone(), until);
                    kept.push(KeptEndpoint { name: name.clone(), until, cause });
                }
                None => self.drop_endpoint(name),
            }
        }
        kept
    }

    /// Drops the endpoints whose grace period is over. Returns whether any was dropped.
    pub fn expire(&mut self, now: Millis) -> bool {
        let expired: Vec<EndpointName> = self
            .missing
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(n, _)| n.clone())
            .collect();
        for name in &expired {
            self.drop_endpoint(name);
        }
        !expired.is_empty()
    }

    /// Returns the earliest end of a grace period.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.missing.values().min().copied()
    }

    /// Returns every endpoint in use.
    pub fn endpoints(&self) -> &IndexMap<EndpointName, EndpointRecord> {
        &self.endpoints
    }

    fn is_ready(&self, name: &EndpointName) -> bool {
        self.endpoints.get(name).is_some_and(|e| e.state == EndpointState::Ready)
    }

    fn drop_endpoint(&mut self, name: &EndpointName) {
        self.missing.shift_remove(name);
        self.endpoints.shift_remove(name);
    }
}
