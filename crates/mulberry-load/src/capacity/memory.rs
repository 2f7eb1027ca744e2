//! Measures the memory of the control state per object held, as the growth of resident memory.

use serde::Serialize;

use mulberry_policy::client_rate_limit::ClientRateLimiter;
use mulberry_policy::job_queue::JobQueue;
use mulberry_policy::membership::HeartbeatSettings;
use mulberry_policy::membership::ListedSide;
use mulberry_policy::membership::Membership;
use mulberry_policy::retry::RetryBudgets;
use mulberry_policy::subset::EndpointPlace;
use mulberry_protocol::bundle::BundleBuilder;
use mulberry_protocol::digest::Digest;
use mulberry_protocol::job::Job;
use mulberry_protocol::job::JobState;
use mulberry_protocol::time::Millis;

use super::heartbeats::side_heartbeat;
use crate::threads::resident_bytes;

/// Bytes of control state per object.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct MemoryCosts {
    /// Per side in an entry's membership table.
    pub peer: f64,
    /// Per client account, for its rate limit and its retry budget.
    pub client: f64,
    /// Per job of an owner, without its chunks.
    pub job: f64,
    /// Per chunk of an owner's jobs.
    pub chunk: f64,
    /// Per item of an opened chunk, without its input line.
    pub open_item: f64,
}

const PEERS: usize = 20_000;
const CLIENTS: usize = 50_000;
const JOBS: usize = 20_000;
const JOBS_WITH_CHUNKS: usize = 2_000;
const CHUNKS: u32 = 1_000;
const OPEN_ITEMS: u32 = 200_000;

/// Measures each kind of object. Keeps all of them alive until the end: the allocator could reuse
/// freed memory, which would hide the growth.
pub(super) fn measure() -> MemoryCosts {
    let (peers, _membership) = measure_growth(fill_membership);
    let (clients, _clients) = measure_growth(fill_clients);
    let (small_jobs, _small_jobs) = measure_growth(|| fill_jobs(JOBS, 1));
    let (large_jobs, _large_jobs) = measure_growth(|| fill_jobs(JOBS_WITH_CHUNKS, CHUNKS));
    let (items, _items) = measure_growth(open_one_chunk);
    let job_with_one_chunk = small_jobs / JOBS as f64;
    let job_with_many_chunks = large_jobs / JOBS_WITH_CHUNKS as f64;
    let chunk = (job_with_many_chunks - job_with_one_chunk) / f64::from(CHUNKS - 1);
    MemoryCosts {
        peer: peers / PEERS as f64,
        client: clients / CLIENTS as f64,
        job: job_with_one_chunk - chunk,
        chunk,
        open_item: items / f64::from(OPEN_ITEMS),
    }
}

/// Returns the bytes by which resident memory grows while `make` runs, and the value it made.
fn measure_growth<T>(make: impl FnOnce() -> T) -> (f64, T) {
    let before = resident_bytes();
    let value = make();
    let after = resident_bytes();
    (after.saturating_sub(before) as f64, value)
}

fn fill_membership() -> Membership {
    let mut membership = Membership::new(HeartbeatSettings::default());
    let list = (0..PEERS).map(|i| ListedSide {
        place: EndpointPlace {
            endpoint: format!("copywriter-kochi-a-{i:05}").as_str().into(),
            zone: "kochi-a".into(),
            service: "copywriter".into(),
        },
        address: std::net::SocketAddr::from(([10, 0, 0, 1], 7_000)),
        leaving: false,
    });
    membership.apply_list(list.collect(), Millis(0));
    for i in 0..PEERS {
        let name = format!("copywriter-kochi-a-{i:05}");
        membership.record_heartbeat(side_heartbeat(&name, 1, 2), Millis(1));
    }
    membership
}

fn fill_clients() -> (ClientRateLimiter, RetryBudgets) {
    let mut builder = BundleBuilder::new("memory");
    for i in 0..CLIENTS {
        builder = builder.client(&format!("client-{i:06}"), "a-key");
    }
    let bundle = builder.build();
    let mut rate_limiter = ClientRateLimiter::default();
    rate_limiter.apply_bundle(&bundle, Millis(0));
    let mut retries = RetryBudgets::default();
    for client in bundle.clients.keys() {
        retries.record_first_attempt(client, &"copywriter".into(), Millis(0));
    }
    (rate_limiter, retries)
}

fn new_job(number: usize, chunks: u32, chunk_items: u32) -> Job {
    Job {
        id: format!("batch_{number:024}").as_str().into(),
        client: format!("client-{:04}", number % 2_500).as_str().into(),
        input: format!("file-{number:024}").as_str().into(),
        digest: Digest::of(b"input"),
        path: "/v1/chat/completions".to_owned(),
        service: "copywriter".into(),
        model: Some("caption-7b".into()),
        idempotent: true,
        items: chunks * chunk_items,
        chunk_items,
        created_at_s: 1,
        due_at_s: 86_400,
        state: JobState::Open,
        completed: 0,
        failed: 0,
        cancelled_by: None,
        metadata: Vec::new(),
    }
}

fn fill_jobs(jobs: usize, chunks: u32) -> JobQueue {
    let mut queue = JobQueue::default();
    for number in 0..jobs {
        queue.add(new_job(number, chunks, 256), &[]);
    }
    queue
}

fn open_one_chunk() -> JobQueue {
    let mut queue = JobQueue::default();
    let job = new_job(0, 1, OPEN_ITEMS);
    let id = job.id.clone();
    queue.add(job, &[]);
    queue.tick();
    let custom_ids = (0..OPEN_ITEMS).map(|i| format!("shot-{i:06}")).collect();
    queue.record_chunk_opened(&id, 0, custom_ids, false);
    queue
}
