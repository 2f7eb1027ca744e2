//! Acquires and loses shards by leases in the store, and loads the jobs of the owned shards.

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
use crate::jobs::shard::HasJob;
use crate::jobs::shard::JobReported;
use crate::jobs::shard::ShardObserver;
use crate::jobs::shard::watch_shard;

impl JobControl {
    /// Starts a store call for the leases. Its result is applied to the state when it arrives.
    pub(super) fn run_ownership_action(&self, action: OwnershipAction, cx: &mut Context<Self>) {
        let store = self.shared.store();
        match action {
            OwnershipAction::Read(shard) => {
                let read =
                    async move { store.read(CallClass::Lease, &object_key::shard(shard)).await };
                cx.spawn(read.into_actor(self).map(move |read, control, cx| {
                    if let Ok(found) = read {
                        control.record_lease(shard, found.as_ref(), cx);
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
                        control.record_lease(shard, found, cx);
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
                            control.ownership.record_written(shard, lease, version, now)
                        }
                        Ok(WriteOutcome::Conflict(_)) => {
                            control.ownership.record_conflict(shard, now)
                        }
                        Err(_) => {
                            control.ownership.record_write_failed(shard, now);
                            None
                        }
                    };
                    control.apply_ownership_change(change, cx);
                }));
            }
        }
    }

    /// Records the lease of a shard as read from the store.
    fn record_lease(&mut self, shard: u32, found: Option<&Object>, cx: &mut Context<Self>) {
        let seen = match found {
            None => SeenLease { lease: None, version: 0 },
            Some(object) => {
                let lease = parse_json::<ShardLease>(object).ok();
                SeenLease { lease, version: object.version }
            }
        };
        let now = self.shared.clock.now();
        let change = self.ownership.record_read(shard, seen, now);
        self.apply_ownership_change(change, cx);
    }

    /// Starts to watch the jobs of an acquired shard, or drops the jobs of a lost one.
    fn apply_ownership_change(&mut self, change: Option<OwnershipChange>, cx: &mut Context<Self>) {
        match change {
            Some(OwnershipChange::Acquired { shard, owner_number }) => {
                self.shared.metrics.count("entry.shards_acquired");
                log_event!(info, Event::ShardAcquired, shard, owner_number);
                let stop = StopSignal::default();
                if let Some(previous) = self.shard_watches.insert(shard, stop.clone()) {
                    previous.trigger();
                }
                let control = cx.address();
                let observer = ShardObserver {
                    shard,
                    has_job: control.clone().recipient(),
                    job_reported: control.recipient(),
                };
                actix_rt::spawn(watch_shard(observer, self.shared.clone(), stop));
            }
            Some(OwnershipChange::Lost { shard }) => {
                self.shared.metrics.count("entry.shards_lost");
                log_event!(info, Event::ShardLost, shard);
                if let Some(stop) = self.shard_watches.shift_remove(&shard) {
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

/// Sets the entries in the VM list, from which the standbys of each shard are chosen.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SetEntries {
    pub entries: Vec<EntryName>,
}

impl Handler<SetEntries> for JobControl {
    type Result = ();

    fn handle(&mut self, message: SetEntries, _: &mut Self::Context) {
        self.ownership.apply_entries(message.entries);
    }
}

impl Handler<HasJob> for JobControl {
    type Result = bool;

    fn handle(&mut self, query: HasJob, _: &mut Self::Context) -> bool {
        self.queue.job(&query.0).is_some()
    }
}

impl Handler<JobReported> for JobControl {
    type Result = ();

    fn handle(&mut self, message: JobReported, cx: &mut Self::Context) {
        // The shard may have been lost since the job was read.
        if self.ownership.owner_number(message.shard).is_none() {
            return;
        }
        let id = message.job.id.clone();
        if message.job.state.is_final() {
            self.drop_job(&id);
            return;
        }
        let cancelling = message.job.state == JobState::Cancelling;
        if let Some(committed) = &message.committed {
            log_event!(info, Event::JobLoaded, job = %id, committed = committed.len());
            self.queue.add(message.job, committed);
        }
        if cancelling {
            log_event!(info, Event::CancelSeen, job = %id);
            self.queue.cancel(&id);
            self.stop_items(&id);
        }
        self.tick(cx);
    }
}
