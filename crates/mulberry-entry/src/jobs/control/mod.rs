//! The control state of the jobs, owned by one thread.

mod items;
mod leases;
mod leave;

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

use crate::control::Hurry;
use crate::controls::Controls;
use crate::jobs::runner::ChunkCounts;
use crate::jobs::runner::ChunkOpened;
use crate::jobs::runner::commit_chunk;
use crate::jobs::runner::end_job;
use crate::jobs::runner::open_chunk;
use crate::shared::Shared;

pub(crate) use items::ItemDone;
pub(crate) use items::LinkClosed;
pub(crate) use items::LinkOpened;
pub(crate) use items::TakeItems;
pub(crate) use leases::EntriesSeen;
pub(crate) use leave::AskJobs;
pub(crate) use leave::LeaveJobs;

/// Time between looks at what is due.
const TICK: Duration = Duration::from_millis(50);

/// Identifies a link from a side.
pub(crate) type LinkId = u64;

/// The control state.
pub(crate) struct JobControl {
    shared: Shared,
    ownership: Ownership,
    queue: JobQueue,
    lines: IndexMap<(JobId, u32), Vec<JobLine>>,
    counts: IndexMap<JobId, IndexMap<u32, ChunkCounts>>,
    outstanding: IndexMap<ItemKey, LinkId>,
    links: IndexMap<LinkId, mpsc::UnboundedSender<FromOwner>>,
    shards: IndexMap<u32, StopSignal>,
    controls: Option<Controls>,
    leaving: bool,
    had_backlog: bool,
}

impl JobControl {
    pub fn new(shared: Shared) -> Self {
        let settings = &shared.settings;
        let ownership = Ownership::new(
            settings.entry.clone(),
            rand::rng().random(),
            settings.job_shards,
            settings.leases(),
            shared.clock.now(),
        );
        Self {
            ownership,
            queue: JobQueue::default(),
            lines: IndexMap::new(),
            counts: IndexMap::new(),
            outstanding: IndexMap::new(),
            links: IndexMap::new(),
            shards: IndexMap::new(),
            controls: None,
            leaving: false,
            had_backlog: false,
            shared,
        }
    }

    fn tick(&mut self, cx: &mut Context<Self>) {
        let now = self.shared.clock.now();
        let actions = self.ownership.tick(now);
        for action in actions {
            self.call_store(action, cx);
        }
        if !self.leaving {
            let actions = self.queue.tick();
            self.carry_out(actions, cx);
        }
        self.publish_backlog();
    }

    fn publish_backlog(&mut self) {
        let mut backlog: IndexMap<ServiceName, u64> = IndexMap::new();
        if !self.leaving
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
            && let Some(controls) = &self.controls
        {
            controls.entry.do_send(Hurry);
        }
        self.had_backlog = has_backlog;
    }

    /// Forgets a job and stops its items on the sides.
    fn drop_job(&mut self, job: &JobId) {
        self.queue.remove(job);
        self.lines.retain(|(of, _), _| of != job);
        self.counts.shift_remove(job);
        self.stop_items(job);
    }

    fn stop_items(&mut self, job: &JobId) {
        self.outstanding.retain(|key, _| key.job != *job);
        for link in self.links.values() {
            // A link that closed is removed by its own message.
            let _closed = link.send(FromOwner::Stop { jobs: vec![job.clone()] });
        }
    }

    fn carry_out(&mut self, actions: Vec<JobAction>, cx: &mut Context<Self>) {
        for action in actions {
            match action {
                JobAction::OpenChunk { job, chunk } => self.start_open(job, chunk, cx),
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
                        control.queue.note_chunk_committed(&job, chunk);
                    }));
                }
                JobAction::EndJob { job } => {
                    let counts = self.counts.get(&job).cloned().unwrap_or_default();
                    let end = end_job(self.shared.clone(), job.clone(), counts);
                    cx.spawn(end.into_actor(self).map(move |ended, control, _| {
                        if ended {
                            control.drop_job(&job);
                        } else {
                            control.queue.note_end_failed(&job);
                        }
                    }));
                }
            }
        }
    }

    fn start_open(&mut self, job: JobId, chunk: u32, cx: &mut Context<Self>) {
        let Some(known) = self.queue.job(&job).cloned() else { return };
        let open = open_chunk(self.shared.clone(), known, chunk);
        cx.spawn(open.into_actor(self).map(move |opened, control, _| match opened {
            Some(ChunkOpened { lines, spent }) => {
                let custom_ids = lines.iter().map(|l| l.custom_id.clone()).collect();
                control.lines.insert((job.clone(), chunk), lines);
                control.queue.note_chunk_opened(&job, chunk, custom_ids, spent);
            }
            None => control.queue.note_chunk_not_opened(&job, chunk),
        }));
    }
}

impl Actor for JobControl {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(65_536);
        cx.run_interval(TICK, JobControl::tick);
    }
}

/// Tells the job control the addresses of the actors.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Connect(pub Controls);

impl Handler<Connect> for JobControl {
    type Result = ();

    fn handle(&mut self, connect: Connect, _: &mut Self::Context) {
        self.controls = Some(connect.0);
    }
}

/// Reports the clients' shares.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct WeightsSeen {
    pub clients: Vec<Client>,
}

impl Handler<WeightsSeen> for JobControl {
    type Result = ();

    fn handle(&mut self, seen: WeightsSeen, _: &mut Self::Context) {
        for client in seen.clients {
            self.queue.set_weight(&client.name, client.batch_weight);
        }
    }
}
