//! Limits the rate of each client account's online requests, so that one client's burst doesn't
//! affect the others.

use indexmap::IndexMap;

use mulberry_protocol::bundle::Bundle;
use mulberry_protocol::name::ClientName;
use mulberry_protocol::time::Millis;

use crate::token_bucket::TokenBucket;

/// Holds a token bucket for each client account.
#[derive(Debug, Default)]
pub struct ClientRateLimiter {
    buckets: IndexMap<ClientName, TokenBucket>,
}

impl ClientRateLimiter {
    /// Applies the accounts and rates of a bundle. Buckets of known accounts keep their level.
    pub fn apply_bundle(&mut self, bundle: &Bundle, now: Millis) {
        self.buckets.retain(|name, _| bundle.clients.contains_key(name));
        for client in bundle.clients.values() {
            let (rate, burst) = (f64::from(client.requests_per_s), f64::from(client.burst));
            self.buckets
                .entry(client.name.clone())
                .or_insert_with(|| TokenBucket::new(rate, burst, now))
                .set_rate(rate, burst);
        }
    }

    /// Admits a request, or returns the milliseconds after which the client may try again. An
    /// account that the bundle does not name has no limit.
    pub fn admit(&mut self, client: &ClientName, now: Millis) -> Result<(), u64> {
        let Some(bucket) = self.buckets.get_mut(client) else {
            return Ok(());
        };
        if bucket.take(1.0, now) { Ok(()) } else { Err(bucket.wait_ms(1.0, 0.0, now)) }
    }
}
