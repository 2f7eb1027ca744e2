//! Batch jobs: the leases on their shards, the items handed out to sides, and their results.
//!
//! Jobs are divided into shards, each of which one entry owns by a lease in the store. The owner
//! reads a job's input in chunks, hands the items out to sides, and commits each chunk's outcomes.

mod chunk_codec;
mod control;
mod owner_link;
mod results;
mod runner;
mod shard;

pub(crate) use chunk_codec::deflate;
pub(crate) use chunk_codec::inflate;
pub(crate) use control::DrainJobs;
pub(crate) use control::JobControl;
pub(crate) use control::SetActors;
pub(crate) use control::SetClientWeights;
pub(crate) use control::SetEntries;
pub(crate) use control::SummarizeJobs;
pub(crate) use owner_link::accept_owner_links;
pub(crate) use results::ResultKind;
pub(crate) use results::count_committed;
pub(crate) use results::stream_results;
