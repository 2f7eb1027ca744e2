//! The end of the process, and the summary of its jobs.

use std::time::Duration;

use actix::ActorFutureExt;
use actix::AsyncContext;
use actix::Handler;
use actix::Message;
use actix::MessageResult;
use actix::ResponseActFuture;
use actix::WrapFuture;

use mulberry_policy::job_queue::JobAction;

use super::JobControl;
use super::TICK;

/// Hands out nothing more, and gives up the shards once what runs has ended or `wait` is over.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct LeaveJobs {
    pub wait: Duration,
}

impl Handler<LeaveJobs> for JobControl {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, leave: LeaveJobs, cx: &mut Self::Context) -> Self::Result {
        self.leaving = true;
        let control = cx.address();
        let wait = async move {
            let end = tokio::time::Instant::now() + leave.wait;
            while tokio::time::Instant::now() < end {
                let left = control.send(AskJobs).await.map_or(0, |view| view.outstanding);
                if left == 0 {
                    break;
                }
                tokio::time::sleep(TICK).await;
            }
        };
        let released = wait.into_actor(self).then(|(), control, cx| {
            // Chunks that are whole by now are committed by this owner.
            let actions = control.queue.tick();
            let commits =
                actions.into_iter().filter(|a| matches!(a, JobAction::CommitChunk { .. }));
            control.carry_out(commits.collect(), cx);
            let releases = control.ownership.leave();
            for action in releases {
                control.call_store(action, cx);
            }
            tokio::time::sleep(TICK * 4).into_actor(control)
        });
        Box::pin(released)
    }
}

/// Asks for a summary of the jobs.
#[derive(Message)]
#[rtype(result = "JobsView")]
pub(crate) struct AskJobs;

/// A summary of the jobs that the entry owns.
#[derive(Debug, Clone, Default, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct JobsView {
    pub shards: Vec<u32>,
    pub jobs: usize,
    pub outstanding: usize,
    pub links: usize,
}

impl Handler<AskJobs> for JobControl {
    type Result = MessageResult<AskJobs>;

    fn handle(&mut self, _: AskJobs, _: &mut Self::Context) -> Self::Result {
        MessageResult(JobsView {
            shards: self.ownership.held().collect(),
            jobs: self.queue.len(),
            outstanding: self.outstanding.len(),
            links: self.links.len(),
        })
    }
}
