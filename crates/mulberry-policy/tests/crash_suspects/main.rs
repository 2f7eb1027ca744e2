//! Tests of finding requests that crash endpoints, and helpers that the modules share.

mod heartbeats;
mod items;
mod patterns;
mod verdicts;

use mulberry_policy::crash_suspects::CrashEvidence;
use mulberry_policy::crash_suspects::CrashSuspects;
use mulberry_policy::crash_suspects::Run;
use mulberry_policy::crash_suspects::SuspectSender;
use mulberry_protocol::heartbeat::Suspect;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::time::Millis;

/// Crashes that convict a request.
pub(crate) const CRASHES_TO_CONVICT: usize = 3;

/// Retries that may reach endpoints after the crashes that convict a request.
pub(crate) const MAX_LATE_RETRIES: usize = 3;

pub(crate) const POISON: u64 = 7;

/// Another request, which completes.
pub(crate) const SOUND: u64 = 1_000;

pub(crate) const ENDPOINT_COUNT: u64 = 9;

/// Has an endpoint crash under the request, which was sent at `sent`.
pub(crate) fn crash(
    suspects: &mut CrashSuspects,
    fingerprint: u64,
    endpoint: u64,
    sent: u64,
    at: u64,
) {
    let service = ServiceName::new("svc");
    let run = Run { fingerprint, service: &service, endpoint, sent_at: Millis(sent) };
    let _verdict = suspects.record_crash(run, CrashEvidence::Refused, Millis(at));
}

/// Has an endpoint end a connection of the request and accept others.
pub(crate) fn end_connection(suspects: &mut CrashSuspects, endpoint: u64, sent: u64, at: u64) {
    let service = ServiceName::new("svc");
    let run = Run { fingerprint: POISON, service: &service, endpoint, sent_at: Millis(sent) };
    let _verdict = suspects.record_crash(run, CrashEvidence::Unclear, Millis(at));
}

pub(crate) fn complete(suspects: &mut CrashSuspects, fingerprint: u64, endpoint: u64, at: u64) {
    let service = ServiceName::new("svc");
    let run = Run { fingerprint, service: &service, endpoint, sent_at: Millis(at) };
    suspects.record_completed(run, Millis(at));
}

pub(crate) fn entry_name(number: usize) -> EntryName {
    EntryName::new(format!("entry-{number}"))
}

pub(crate) fn suspect(crashes: u8, confirmed: bool) -> Suspect {
    // Heartbeats carry two points for each crash.
    Suspect { fingerprint: POISON, crashes: 2 * crashes, recent: false, confirmed }
}

/// Returns the head of the heartbeat with this number from the first entry.
pub(crate) fn sender_of(sequence: u64) -> SuspectSender {
    SuspectSender { name: entry_name(1), incarnation: 1, sequence }
}
