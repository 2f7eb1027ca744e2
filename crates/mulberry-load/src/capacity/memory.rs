//! Memory of the control state by what it holds, from the growth of resident memory.

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

use super::beats::side_beat;
use crate::threads::resident_bytes;

/// Bytes for each thing held.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct MemorySlopes {
    /// For each side in an entry's table.
    pub peer: f64,
    /// For each client account: its rate and its retry budget.
    pub client: f64,
    /// For each job of an owner, its chunks left out.
    pub job: f64,
    /// For each chunk of an owner's jobs.
    pub chunk: f64,
    /// For each item of an opened chunk, its line left out.
    pub open_item: f64,
}

const PEERS: usize = 20_000;
const CLIENTS: usize = 50_000;
const JOBS: usize = 20_000;
const JOBS_WITH_CHUNKS: usize = 2_000;
const CHUNKS: u32 = 1_000;
const OPEN_ITEMS: u32 = 200_000;

/// Measures. Everything stays held to the end, so that no memory is used twice.
pub(super) fn measure() -> MemorySlopes {
    let (peers, _membership) = grow(fill_membership);
    let (clients, _clients) = grow(fill_clients);
    let (few, _few) = grow(|| fill_jobs(JOBS, 1));
    let (many, _many) = grow(|| fill_jobs(JOBS_WITH_CHUNKS, CHUNKS));
    let (items, _items) = grow(open_one_chunk);
    let few_chunks = few / JOBS as f64;
    let many_chunks = many / JOBS_WITH_CHUNKS as f64;
    let chunk = (many_chunks - few_chunks) / f64::from(CHUNKS - 1);
    MemorySlopes {
        peer: peers / PEERS as f64,
        client: clients / CLIENTS as f64,
        job: few_chunks - chunk,
        chunk,
        open_item: items / f64::from(OPEN_ITEMS),
    }
}

/// Returns the bytes by which resident memory grows, and what `make` made.
fn grow<T>(make: impl FnOnce() -> T) -> (f64, T) {
    let before = resident_bytes();
    let held = make();
    let after = resident_bytes();
    (after.saturating_sub(before) as f64, held)
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
        membership.record_heartbeat(side_beat(&name, 1, 2), Millis(1));
    }
    membership
}

fn fill_clients() -> (ClientRateLimiter, RetryBudgets) {
    let mut builder = BundleBuilder::new("memory");
    for i in 0..CLIENTS {
        builder = builder.client(&format!("client-{i:06}"), "a-key");
    }
    let bundle = builder.build();
    let mut fair_share = ClientRateLimiter::default();
    fair_share.apply_bundle(&bundle, Millis(0));
    let mut retries = RetryBudgets::default();
    for client in bundle.clients.keys() {
        retries.record_first_attempt(client, &"copywriter".into(), Millis(0));
    }
    (fair_share, retries)
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
