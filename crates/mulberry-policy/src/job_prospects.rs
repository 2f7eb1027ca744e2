//! Which batch jobs have nothing left to run at, and from when on their items are no longer kept for it.

use std::hash::Hash;

use indexmap::IndexMap;

use mulberry_protocol::closed_set;
use mulberry_protocol::time::Millis;

/// Time for which a job must have had nothing to run at before its items are given up, in milliseconds. The
/// next version of a configuration may bring a route back, and an endpoint may register again.
pub const STRANDED_GRACE_MS: u64 = 5_000;

closed_set! {
    /// Why nothing can run the items of a job.
    pub enum Stranded {
        /// The configuration has no route any more that takes the job.
        RouteGone,
        /// The job's retention time is over, and the services of its route have no endpoint.
        NoEndpoint,
    }
}

/// The jobs that have nothing to run at, and since when.
#[derive(Debug, Clone)]
pub struct JobProspects<K> {
    stranded_since: IndexMap<K, Millis>,
}

impl<K> Default for JobProspects<K> {
    fn default() -> Self {
        Self { stranded_since: IndexMap::new() }
    }
}

impl<K: Clone + Eq + Hash> JobProspects<K> {
    /// Records whether a job is stranded now. Returns why its waiting items are to be given up, if they are.
    pub fn observe(
        &mut self,
        job: &K,
        stranded: Option<Stranded>,
        now: Millis,
    ) -> Option<Stranded> {
        let Some(stranded) = stranded else {
            self.stranded_since.swap_remove(job);
            return None;
        };
        let since = *self.stranded_since.entry(job.clone()).or_insert(now);
        (now.since(since) >= STRANDED_GRACE_MS).then_some(stranded)
    }

    /// Forgets the jobs that are not kept, such as settled ones.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        self.stranded_since.retain(|job, _| keep(job));
    }

    /// Forgets all jobs, as when another process owns them.
    pub fn clear(&mut self) {
        self.stranded_since.clear();
    }
}
