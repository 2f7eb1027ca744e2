//! The shards that the entry owns, and the jobs in them.

use actix::ActorFutureExt;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::WrapFuture;

use mulberry_platform::object_api::Object;
use mulberry_platform::store::WriteOutcome;
use mulberry_platform::store::parse_json;
use mulberry_platform::store::to_json;
use mulberry_policy::ownership::OwnershipAction;
use mulberry_policy::ownership::OwnershipChange;
use mulberry_policy::ownership::SeenLease;
use mulberry_policy::store_budget::CallClass;
use mulberry_process::stop::StopSignal;
use mulberry_protocol::event::Event;
use mulberry_protocol::job::JobState;
use mulberry_protocol::job::ShardLease;
use mulberry_protocol::log_event;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::object_key;

use super::JobControl;
use crate::jobs::shard::JobReader;
use crate::jobs::shard::JobSeen;
use crate::jobs::shard::KnowsJob;
use crate::jobs::shard::follow_shard;

impl JobControl {
    pub(super) fn call_store(&self, action: OwnershipAction, cx: &mut Context<Self>) {
        let store = self.shared.store();
        match action {
            OwnershipAction::Read(shard) => {
                let read =
                    async move { store.read(CallClass::Lease, &object_key::shard(shard)).await };
                cx.spawn(read.into_actor(self).map(move |read, control, cx| {
                    if let Ok(found) = read {
                        control.note_read(shard, found.as_ref(), cx);
                    }
                }));
            }
            OwnershipAction::ReadAll => {
                let list = async move {
                    store.list_all(CallClass::Listing, object_key::SHARDS, true).await
                };
                cx.spawn(list.into_actor(self).map(move |listed, control, cx| {
                    let Ok((objects, _)) = listed else { return };
                    for shard in 0..control.shared.settings.job_shards {
                        let key = object_key::shard(shard);
                        let found = objects.iter().find(|o| o.key == key);
                        control.note_read(shard, found, cx);
                    }
                }));
            }
            OwnershipAction::Write { shard, expected, lease } => {
                let written = lease.clone();
                let write = async move {
                    let value = to_json(&written)?;
                    let key = object_key::shard(shard);
                    match expected {
                        0 => store.create(CallClass::Lease, &key, value).await,
                        version => store.update(CallClass::Lease, &key, value, version).await,
                    }
                };
                cx.spawn(write.into_actor(self).map(move |end, control, cx| {
                    let now = control.shared.clock.now();
                    let change = match end {
                        Ok(WriteOutcome::Written(version)) => {
                            control.ownership.note_written(shard, lease, version, now)
                        }
                        Ok(WriteOutcome::Conflict(_)) => {
                            control.ownership.note_conflict(shard, now)
                        }
                        Err(_) => {
                            control.ownership.note_write_failed(shard, now);
                            None
                        }
                    };
                    control.note_change(change, cx);
                }));
            }
        }
    }

    fn note_read(&mut self, shard: u32, found: Option<&Object>, cx: &mut Context<Self>) {
        let seen = match found {
            None => SeenLease { lease: None, version: 0 },
            Some(object) => {
                let lease = parse_json::<ShardLease>(object).ok();
                SeenLease { lease, version: object.version }
            }
        };
        let now = self.shared.clock.now();
        let change = self.ownership.note_read(shard, seen, now);
        self.note_change(change, cx);
    }

    fn note_change(&mut self, change: Option<OwnershipChange>, cx: &mut Context<Self>) {
        match change {
            Some(OwnershipChange::Acquired { shard, owner_number }) => {
                self.shared.metrics.count("entry.shards_acquired");
                log_event!(info, Event::ShardAcquired, shard, owner_number);
                let stop = StopSignal::default();
                if let Some(before) = self.shards.insert(shard, stop.clone()) {
                    before.trigger();
                }
                let control = cx.address();
                let reader = JobReader {
                    shard,
                    knows: control.clone().recipient(),
                    seen: control.recipient(),
                };
                actix_rt::spawn(follow_shard(reader, self.shared.clone(), stop));
            }
            Some(OwnershipChange::Lost { shard }) => {
                self.shared.metrics.count("entry.shards_lost");
                log_event!(info, Event::ShardLost, shard);
                if let Some(stop) = self.shards.shift_remove(&shard) {
                    stop.trigger();
                }
                let shards = self.shared.settings.job_shards;
                let lost = self.queue.jobs_where(|id| object_key::job_shard(id, shards) == shard);
                for job in lost {
                    self.drop_job(&job);
                }
            }
            None => {}
        }
    }
}

/// Reports the entries that the VM list shows.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct EntriesSeen {
    pub entries: Vec<EntryName>,
}

impl Handler<EntriesSeen> for JobControl {
    type Result = ();

    fn handle(&mut self, seen: EntriesSeen, _: &mut Self::Context) {
        self.ownership.apply_entries(seen.entries);
    }
}

impl Handler<KnowsJob> for JobControl {
    type Result = bool;

    fn handle(&mut self, knows: KnowsJob, _: &mut Self::Context) -> bool {
        self.queue.job(&knows.0).is_some()
    }
}

impl Handler<JobSeen> for JobControl {
    type Result = ();

    fn handle(&mut self, seen: JobSeen, cx: &mut Self::Context) {
        // The shard may have been lost while its jobs were read.
        if self.ownership.owner_number(seen.shard).is_none() {
            return;
        }
        let id = seen.job.id.clone();
        if seen.job.state.is_final() {
            self.drop_job(&id);
            return;
        }
        let cancelling = seen.job.state == JobState::Cancelling;
        if let Some(committed) = &seen.committed {
            log_event!(info, Event::JobLoaded, job = %id, committed = committed.len());
            self.queue.add(seen.job, committed);
        }
        if cancelling {
            log_event!(info, Event::CancelSeen, job = %id);
            self.queue.cancel(&id);
            self.stop_items(&id);
        }
        self.tick(cx);
    }
}
