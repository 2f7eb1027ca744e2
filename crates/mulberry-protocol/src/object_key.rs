//! Keys of the objects that entries and operators store through the platform's object API.

use crate::digest::Digest;
use crate::digest::stable_hash;
use crate::name::ClientName;
use crate::name::FileId;
use crate::name::JobId;

/// Key of the object that names the bundle in force.
pub const BUNDLE_IN_FORCE: &str = "bundles/in-force";

/// Prefix of the keys of bundle contents.
pub const BUNDLE_CONTENTS: &str = "bundles/content/";

/// Prefix of the keys of deltas between bundles.
pub const BUNDLE_DELTAS: &str = "bundles/delta/";

/// Prefix of the keys of sign-offs.
pub const SIGN_OFFS: &str = "bundles/sign-off/";

/// Prefix of the keys of roll records, the history of which bundles were put in force.
pub const ROLLS: &str = "bundles/roll/";

/// Prefix of the keys of shard leases.
pub const SHARDS: &str = "shards/";

/// Prefix of the keys of jobs.
pub const JOBS: &str = "jobs/";

/// Seed of the hash that assigns jobs to shards. The shard is part of a job's key.
const JOB_SHARD_SEED: u64 = 0x6d75_6c62;

/// Returns the key of a bundle's content.
pub fn bundle_content(digest: &Digest) -> String {
    format!("{BUNDLE_CONTENTS}{digest}")
}

/// Returns the key of the delta from one bundle to another.
pub fn bundle_delta(from: &Digest, to: &Digest) -> String {
    format!("{BUNDLE_DELTAS}{}-{}", from.short(), to.short())
}

/// Returns the key of a bundle's sign-off.
pub fn sign_off(digest: &Digest) -> String {
    format!("{SIGN_OFFS}{digest}")
}

/// Returns the key of the record of a roll.
pub fn roll(number: u64) -> String {
    format!("{ROLLS}{number:012}")
}

/// Returns the shard that a job belongs to, given the number of shards.
pub fn job_shard(job: &JobId, shards: u32) -> u32 {
    let hash = stable_hash(job.as_str().as_bytes(), JOB_SHARD_SEED);
    (hash % u64::from(shards.max(1))) as u32
}

/// Returns the key of a shard's lease.
pub fn shard(shard: u32) -> String {
    format!("{SHARDS}{shard:04}")
}

/// Returns the prefix of the keys of a shard's jobs.
pub fn shard_jobs(shard: u32) -> String {
    format!("{JOBS}{shard:04}/")
}

/// Returns the key of a job, given the number of shards.
pub fn job(id: &JobId, shards: u32) -> String {
    format!("{}{id}", shard_jobs(job_shard(id, shards)))
}

/// Returns the prefix of the keys that list a client account's jobs, in order of acceptance.
pub fn client_jobs(client: &ClientName) -> String {
    format!("clients/{client}/jobs/")
}

/// Returns the prefix of the keys of a job's chunks.
pub fn chunks(job: &JobId) -> String {
    format!("chunks/{job}/")
}

/// Returns the key of a chunk.
pub fn chunk(job: &JobId, chunk: u32) -> String {
    format!("{}{chunk:06}", chunks(job))
}

/// Returns the key of the claim on a chunk whose items are not idempotent.
pub fn chunk_claim(job: &JobId, chunk: u32) -> String {
    format!("chunk-claims/{job}/{chunk:06}")
}

/// Returns the key of a file's description.
pub fn file(client: &ClientName, id: &FileId) -> String {
    format!("files/{client}/{id}/info")
}

/// Returns the prefix of the keys of a client account's files.
pub fn client_files(client: &ClientName) -> String {
    format!("files/{client}/")
}

/// Returns the key of a segment of a file.
pub fn file_segment(client: &ClientName, id: &FileId, segment: u32) -> String {
    format!("files/{client}/{id}/segment/{segment:06}")
}

/// Returns the key of the claim on an idempotency key of a client account.
pub fn claim(client: &ClientName, idempotency_key: &str) -> String {
    let digest = Digest::of_parts(&[client.as_str().as_bytes(), idempotency_key.as_bytes()]);
    format!("claims/{client}/{}", digest.short())
}
