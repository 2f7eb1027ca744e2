//! Tests of bounding how often requests that crash endpoints reach them, and helpers that the modules
//! share.

mod heartbeats;
mod parts;
mod patterns;
mod sound;
mod verdicts;

use mulberry_policy::crash_suspects::CrashEvidence;
use mulberry_policy::crash_suspects::CrashSuspects;
use mulberry_policy::crash_suspects::Permission;
use mulberry_policy::crash_suspects::Run;
use mulberry_policy::crash_suspects::SuspectSender;
use mulberry_policy::crash_suspects::ToldSuspect;
use mulberry_protocol::heartbeat::Suspect;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::peer::SeenCrash;
use mulberry_protocol::peer::SuspectDetail;
use mulberry_protocol::time::Millis;

/// Sends that may reach endpoints later than [`LATE_AFTER_MS`] after the third crash.
pub(crate) const MAX_LATE_SENDS: usize = 3;

/// Time after the third crash from which on a send is late, in milliseconds.
pub(crate) const LATE_AFTER_MS: u64 = 3_000;

pub(crate) const POISON: u64 = 7;

/// Another request, which completes.
pub(crate) const SOUND: u64 = 1_000;

pub(crate) const ENDPOINT_COUNT: u64 = 9;

pub(crate) fn service() -> ServiceName {
    ServiceName::new("svc")
}

/// Has an endpoint crash under the request, which was sent at `sent`, and refuse connections.
pub(crate) fn crash(
    suspects: &mut CrashSuspects,
    fingerprint: u64,
    endpoint: u64,
    sent: u64,
    at: u64,
) {
    break_run(suspects, (fingerprint, endpoint), CrashEvidence::Refused, sent, at);
}

/// Has a run of the request, which was sent at `sent`, break with this evidence.
pub(crate) fn break_run(
    suspects: &mut CrashSuspects,
    (fingerprint, endpoint): (u64, u64),
    evidence: CrashEvidence,
    sent: u64,
    at: u64,
) {
    let service = service();
    let run = Run { fingerprint, service: &service, endpoint, sent_at: Millis(sent) };
    let _verdict = suspects.record_crash(run, evidence, Millis(at));
}

pub(crate) fn complete(suspects: &mut CrashSuspects, fingerprint: u64, endpoint: u64, at: u64) {
    let service = service();
    let run = Run { fingerprint, service: &service, endpoint, sent_at: Millis(at) };
    suspects.record_completed(run, Millis(at));
}

pub(crate) fn permission(suspects: &CrashSuspects, fingerprint: u64, at: u64) -> Permission {
    suspects.permission(fingerprint, &service(), Millis(at))
}

/// Returns whether the request runs like any other one.
pub(crate) fn is_free(suspects: &CrashSuspects, fingerprint: u64, at: u64) -> bool {
    permission(suspects, fingerprint, at) == Permission::Run
}

pub(crate) fn entry_name(number: usize) -> EntryName {
    EntryName::new(format!("entry-{number}"))
}

/// Returns what a peer tells that saw these endpoints crash under [`POISON`] so many milliseconds ago.
pub(crate) fn told(endpoints: &[u32], ms_ago: u32, confirmed: bool) -> ToldSuspect {
    let crashes = endpoints
        .iter()
        .map(|endpoint| SeenCrash {
            endpoint: *endpoint,
            sent_ms_ago: ms_ago + 10,
            broke_ms_ago: ms_ago,
            is_refused: true,
        })
        .collect();
    let detail = SuspectDetail {
        crashes,
        is_proven: false,
        completed_ms_ago: None,
        trials: 0,
        last_trial_ms_ago: None,
    };
    let suspect = Suspect { fingerprint: POISON, crashes: 0, recent: false, confirmed };
    ToldSuspect { suspect, detail: Some(detail), is_part: false }
}

/// Returns the head of the heartbeat with this number from the first entry.
pub(crate) fn sender_of(sequence: u64) -> SuspectSender {
    SuspectSender { name: entry_name(1), incarnation: 1, sequence }
}
