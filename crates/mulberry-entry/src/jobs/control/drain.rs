//! Drains the jobs when the process stops, and summarizes them for the status page.

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
use super::TICK_INTERVAL;

/// Stops handing out items, waits until the outstanding ones have ended or `timeout` has passed,
/// then releases the shards.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct DrainJobs {
    pub timeout: Duration,
}

impl Handler<DrainJobs> for JobControl {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, drain: DrainJobs, cx: &mut Self::Context) -> Self::Result {
        self.draining = true;
        let control = cx.address();
        let wait = async move {
            let deadline = tokio::time::Instant::now() + drain.timeout;
            while tokio::time::Instant::now() < deadline {
                let outstanding =
                    control.send(SummarizeJobs).await.map_or(0, |view| view.outstanding);
                if outstanding == 0 {
                    break;
                }
                tokio::time::sleep(TICK_INTERVAL).await;
            }
        };
        let released = wait.into_actor(self).then(|(), control, cx| {
            // Commits the chunks that are complete by now, before the shards are released.
            let actions = control.queue.tick();
            let commits =
                actions.into_iter().filter(|a| matches!(a, JobAction::CommitChunk { .. }));
            control.apply_actions(commits.collect(), cx);
            let releases = control.ownership.leave();
            for action in releases {
                control.run_ownership_action(action, cx);
            }
            tokio::time::sleep(TICK_INTERVAL * 4).into_actor(control)
        });
        Box::pin(released)
    }
}

/// Requests a summary of the jobs that the entry owns.
#[derive(Message)]
#[rtype(result = "JobsView")]
pub(crate) struct SummarizeJobs;

/// The owned shards, and the numbers of their jobs, of outstanding items and of links from sides.
#[derive(Debug, Clone, Default, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct JobsView {
    pub shards: Vec<u32>,
    pub jobs: usize,
    pub outstanding: usize,
    pub links: usize,
}

impl Handler<SummarizeJobs> for JobControl {
    type Result = MessageResult<SummarizeJobs>;

    fn handle(&mut self, _: SummarizeJobs, _: &mut Self::Context) -> Self::Result {
        MessageResult(JobsView {
            shards: self.ownership.held().collect(),
            jobs: self.queue.len(),
            outstanding: self.outstanding.len(),
            links: self.links.len(),
        })
    }
}
