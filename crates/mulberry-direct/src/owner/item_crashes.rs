//! Finds out whether an endpoint crashed under an item, also before its run has ended.

use std::time::Duration;
use std::time::Instant;

use mulberry_policy::crash_suspects::CrashEvidence;
use mulberry_policy::run_outcome::RunOutcome;
use mulberry_protocol::time::Millis;

use crate::connection::BreakCause;
use crate::owner::Owner;
use crate::owner::run::RunSpec;
use crate::owner::run::count_events;
use crate::run_watch::SILENT_AFTER;

/// Silence of the endpoint after which a run without output is noted as a crash. The owner may be gone
/// before the run times out, and the next one would not know of it.
const NOTED_AFTER: Duration = Duration::from_millis(500);

/// When a run began, by both clocks.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunTimes {
    pub(crate) started: Millis,
    pub(crate) sent: Instant,
}

/// Waits for the end of a run. Notes a crash in the item's log if the endpoint is silent for long, and
/// returns whether it did.
pub(crate) async fn watch_for_silence<T>(
    owner: &Owner,
    spec: &RunSpec,
    run: impl Future<Output = T>,
) -> (T, bool) {
    let sent = Instant::now();
    let events_before = count_events(owner, spec);
    let mut run = std::pin::pin!(run);
    loop {
        if let Ok(ended) = tokio::time::timeout(NOTED_AFTER, run.as_mut()).await {
            return (ended, false);
        }
        let silence = owner.pool.silence_since(spec.endpoint.address, sent);
        if silence >= NOTED_AFTER && count_events(owner, spec) == events_before {
            break;
        }
    }
    if owner.is_current(spec.generation) {
        let mut state = owner.state.borrow_mut();
        if let Some(log) = state.jobs.get_mut(&spec.key.0) {
            log.record_crash(spec.key.1);
        }
    }
    (run.await, true)
}

/// Records whether the endpoint crashed under the item or survived it, and returns whether that counts
/// as a crash. A run that added output is not counted as one: the next one continues behind that output.
pub(crate) async fn record_effect(
    owner: &Owner,
    spec: &RunSpec,
    outcome: RunOutcome,
    break_without_progress: Option<BreakCause>,
    times: RunTimes,
) -> bool {
    let shared = &owner.shared;
    let (fingerprint, endpoint) = (spec.fingerprint, &spec.endpoint);
    match (outcome, break_without_progress) {
        (RunOutcome::Completed | RunOutcome::Impossible | RunOutcome::Failed, _) => {
            shared.record_run_completed(fingerprint, endpoint, times.started);
            false
        }
        (RunOutcome::Broken, Some(BreakCause::Ended)) => {
            shared.record_crash(fingerprint, endpoint, times.started).await
        }
        (RunOutcome::Broken, Some(BreakCause::Silent)) => {
            let is_silent = owner.pool.silence_since(endpoint.address, times.sent) >= SILENT_AFTER;
            let evidence = CrashEvidence::Silent;
            is_silent && shared.record_break(fingerprint, endpoint, times.started, evidence)
        }
        (RunOutcome::Broken | RunOutcome::NotRun | RunOutcome::Stopped, _) => false,
    }
}
