//! The actor that holds the state of the batch jobs that this entry owns.

mod drain;
mod items;
mod leases;

use std::time::Duration;

use actix::Actor;
use actix::ActorFutureExt;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::WrapFuture;
use indexmap::IndexMap;
use rand::Rng;
use tokio::sync::mpsc;

use mulberry_policy::job_queue::ItemKey;
use mulberry_policy::job_queue::JobAction;
use mulberry_policy::job_queue::JobQueue;
use mulberry_policy::ownership::Ownership;
use mulberry_process::stop::StopSignal;
use mulberry_protocol::bundle::Client;
use mulberry_protocol::job::JobLine;
use mulberry_protocol::link::FromOwner;
use mulberry_protocol::name::JobId;
use mulberry_protocol::name::ServiceName;

use crate::actors::ControlActors;
use crate::control::SendHeartbeatsNow;
use crate::jobs::runner::ChunkCounts;
use crate::jobs::runner::OpenedChunk;
use crate::jobs::runner::commit_chunk;
use crate::jobs::runner::end_job;
use crate::jobs::runner::open_chunk;
use crate::shared::Shared;

pub(crate) use drain::DrainJobs;
pub(crate) use drain::SummarizeJobs;
pub(crate) use items::ItemDone;
pub(crate) use items::LinkClosed;
pub(crate) use items::LinkOpened;
pub(crate) use items::TakeItems;
pub(crate) use leases::SetEntries;

/// Interval at which the actor makes the lease and job calls that are due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Number of a link from a side, unique within the process.
pub(crate) type LinkId = u64;

/// Owns shards of the jobs, hands their items out over links, and commits their chunks.
pub(crate) struct JobControl {
    shared: Shared,
    ownership: Ownership,
    queue: JobQueue,
    /// Input lines of the opened chunks.
    lines: IndexMap<(JobId, u32), Vec<JobLine>>,
    /// Counts of the chunks that this owner committed.
    counts: IndexMap<JobId, IndexMap<u32, ChunkCounts>>,
    /// Items that were handed out, with the link over which each was.
    outstanding: IndexMap<ItemKey, LinkId>,
    links: IndexMap<LinkId, mpsc::UnboundedSender<FromOwner>>,
    /// Stops the watch of each owned shard.
    shard_watches: IndexMap<u32, StopSignal>,
    /// Set by [`SetActors`] once the actors have started.
    actors: Option<ControlActors>,
    /// Whether the process is stopping, so that no more items are handed out.
    draining: bool,
    /// Whether items were waiting at the last tick.
    had_backlog: bool,
}

impl JobControl {
    pub fn new(shared: Shared) -> Self {
        let settings = &shared.settings;
        let ownership = Ownership::new(
            settings.entry.clone(),
            rand::rng().random(),
            settings.job_shards,
            settings.lease_timing(),
            shared.clock.now(),
        );
        Self {
            ownership,
            queue: JobQueue::default(),
            lines: IndexMap::new(),
            counts: IndexMap::new(),
            outstanding: IndexMap::new(),
            links: IndexMap::new(),
            shard_watches: IndexMap::new(),
            actors: None,
            draining: false,
            had_backlog: false,
            shared,
        }
    }

    /// Makes the lease and job calls that are due.
    fn tick(&mut self, cx: &mut Context<Self>) {
        let now = self.shared.clock.now();
        let actions = self.ownership.tick(now);
        for action in actions {
            self.run_ownership_action(action, cx);
        }
        if !self.draining {
            let actions = self.queue.tick();
            self.apply_actions(actions, cx);
        }
        self.publish_backlog();
    }

    /// Publishes the number of waiting items per service for the heartbeats, which tell sides
    /// whether to pull. Sends heartbeats at once when the first items arrive.
    fn publish_backlog(&mut self) {
        let mut backlog: IndexMap<ServiceName, u64> = IndexMap::new();
        if !self.draining
            && let Some(loaded) = &self.shared.snapshot.load().bundle
        {
            for service in loaded.bundle.services.keys() {
                backlog.insert(service.clone(), self.queue.backlog(service));
            }
        }
        let has_backlog = backlog.values().any(|b| *b > 0);
        self.shared.backlog.store(std::sync::Arc::new(backlog));
        if has_backlog
            && !self.had_backlog
            && let Some(actors) = &self.actors
        {
            actors.entry.do_send(SendHeartbeatsNow);
        }
        self.had_backlog = has_backlog;
    }

    /// Removes a job from the state and stops its items on the sides.
    fn drop_job(&mut self, job: &JobId) {
        self.queue.remove(job);
        self.lines.retain(|(id, _), _| id != job);
        self.counts.shift_remove(job);
        self.stop_items(job);
    }

    /// Tells every side to stop the items of a job. Later reports of them count as late.
    fn stop_items(&mut self, job: &JobId) {
        self.outstanding.retain(|key, _| key.job != *job);
        for link in self.links.values() {
            // A send fails only on a closed link, which `LinkClosed` removes.
            let _closed = link.send(FromOwner::Stop { jobs: vec![job.clone()] });
        }
    }

    /// Starts the store calls that the queue asks for. Their results are applied when they arrive.
    fn apply_actions(&mut self, actions: Vec<JobAction>, cx: &mut Context<Self>) {
        for action in actions {
            match action {
                JobAction::OpenChunk { job, chunk } => self.start_opening_chunk(job, chunk, cx),
                JobAction::CommitChunk { job, chunk, outcomes, sealed_by_cancel } => {
                    let commit = commit_chunk(
                        self.shared.clone(),
                        job.clone(),
                        chunk,
                        outcomes,
                        sealed_by_cancel,
                    );
                    cx.spawn(commit.into_actor(self).map(move |counts, control, _| {
                        control.lines.shift_remove(&(job.clone(), chunk));
                        if let Some(counts) = counts {
                            control.counts.entry(job.clone()).or_default().insert(chunk, counts);
                        }
                        control.queue.record_chunk_committed(&job, chunk);
                    }));
                }
                JobAction::EndJob { job } => {
                    let counts = self.counts.get(&job).cloned().unwrap_or_default();
                    let end = end_job(self.shared.clone(), job.clone(), counts);
                    cx.spawn(end.into_actor(self).map(move |ended, control, _| {
                        if ended {
                            control.drop_job(&job);
                        } else {
                            control.queue.record_end_failed(&job);
                        }
                    }));
                }
            }
        }
    }

    /// Starts to read a chunk's lines, and adds its items to the queue once they are read.
    fn start_opening_chunk(&mut self, job: JobId, chunk: u32, cx: &mut Context<Self>) {
        let Some(known) = self.queue.job(&job).cloned() else { return };
        let open = open_chunk(self.shared.clone(), known, chunk);
        cx.spawn(open.into_actor(self).map(move |opened, control, _| match opened {
            Some(OpenedChunk { lines, may_have_run }) => {
                let custom_ids = lines.iter().map(|l| l.custom_id.clone()).collect();
                control.lines.insert((job.clone(), chunk), lines);
                control.queue.record_chunk_opened(&job, chunk, custom_ids, may_have_run);
            }
            None => control.queue.record_chunk_not_opened(&job, chunk),
        }));
    }
}

impl Actor for JobControl {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(65_536);
        cx.run_interval(TICK_INTERVAL, JobControl::tick);
    }
}

/// Sets the addresses of the actors, which exist only after both have started.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SetActors(pub ControlActors);

impl Handler<SetActors> for JobControl {
    type Result = ();

    fn handle(&mut self, message: SetActors, _: &mut Self::Context) {
        self.actors = Some(message.0);
    }
}

/// Sets the client accounts' shares of the batch capacity, from a new bundle.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SetClientWeights {
    pub clients: Vec<Client>,
}

impl Handler<SetClientWeights> for JobControl {
    type Result = ();

    fn handle(&mut self, message: SetClientWeights, _: &mut Self::Context) {
        for client in message.clients {
            self.queue.set_weight(&client.name, client.batch_weight);
        }
    }
}
