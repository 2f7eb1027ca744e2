//! Policy state that the traffic threads share: rates, retry budgets, ejections and suspects.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use mulberry_policy::client_rate_limit::ClientRateLimiter;
use mulberry_policy::ejection::Ejector;
use mulberry_policy::retry::RetryBudgets;
use mulberry_policy::suspects::SuspectTable;

/// Policies for online requests. Each has its own lock, which is held for one decision only.
#[derive(Default)]
pub(crate) struct TrafficPolicies {
    client_rate_limiter: Mutex<ClientRateLimiter>,
    retries: Mutex<RetryBudgets>,
    ejector: Mutex<Ejector>,
    suspects: Mutex<SuspectTable>,
}

/// Locks a policy. A panic under the lock does not make it unusable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl TrafficPolicies {
    pub fn client_rate_limiter(&self) -> MutexGuard<'_, ClientRateLimiter> {
        lock(&self.client_rate_limiter)
    }

    pub fn retries(&self) -> MutexGuard<'_, RetryBudgets> {
        lock(&self.retries)
    }

    pub fn ejector(&self) -> MutexGuard<'_, Ejector> {
        lock(&self.ejector)
    }

    pub fn suspects(&self) -> MutexGuard<'_, SuspectTable> {
        lock(&self.suspects)
    }
}
