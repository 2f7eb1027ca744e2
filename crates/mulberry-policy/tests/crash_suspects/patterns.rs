//! A caller that resends a request which crashes endpoints, to entries that tell each other what they
//! saw: how many of its sends are late.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::ENDPOINT_COUNT;
use crate::LATE_AFTER_MS;
use crate::MAX_LATE_SENDS;
use crate::POISON;
use crate::SOUND;
use crate::break_run;
use crate::complete;
use crate::entry_name;
use crate::permission;
use mulberry_policy::crash_suspects::CrashEvidence;
use mulberry_policy::crash_suspects::CrashSuspects;
use mulberry_policy::crash_suspects::MAX_TRIALS;
use mulberry_policy::crash_suspects::Permission;
use mulberry_policy::crash_suspects::SuspectSender;
use mulberry_protocol::time::Millis;

/// One load pattern.
#[derive(Debug, Clone, Copy)]
struct Pattern {
    name: &'static str,
    entries: usize,
    endpoints: u64,
    /// Endpoints on which each send of the caller may run.
    attempts: usize,
    /// Time between the caller's sends, which go to the entries in turn.
    resend_ms: u64,
    /// Time between the heartbeats of an entry.
    heartbeat_ms: u64,
    /// One in so many heartbeats arrives.
    heartbeats_per_arrival: usize,
    /// Time between the other requests that each entry completes; zero if there are none.
    sound_ms: u64,
    /// Time for which an endpoint is down after a crash.
    down_ms: u64,
}

const BASE: Pattern = Pattern {
    name: "idempotent, beside busy callers",
    entries: 4,
    endpoints: ENDPOINT_COUNT,
    attempts: 3,
    resend_ms: 300,
    heartbeat_ms: 100,
    heartbeats_per_arrival: 1,
    sound_ms: 70,
    down_ms: 2_700,
};

const PATTERNS: &[Pattern] = &[
    BASE,
    Pattern { name: "at most once for each send", attempts: 1, resend_ms: 500, ..BASE },
    Pattern { name: "one entry only", entries: 1, attempts: 2, resend_ms: 100, ..BASE },
    Pattern {
        name: "many entries, fewer heartbeats",
        entries: 80,
        attempts: 2,
        resend_ms: 700,
        heartbeat_ms: 400,
        ..BASE
    },
    Pattern { name: "half of the heartbeats lost", heartbeats_per_arrival: 2, ..BASE },
    Pattern { name: "little else completes", sound_ms: 8_000, entries: 12, ..BASE },
    Pattern { name: "nothing else completes", sound_ms: 0, ..BASE },
    Pattern { name: "nothing else, one attempt", sound_ms: 0, attempts: 1, ..BASE },
    Pattern { name: "three endpoints", endpoints: 3, attempts: 1, ..BASE },
    Pattern { name: "three endpoints, nothing else", endpoints: 3, sound_ms: 0, ..BASE },
    Pattern { name: "one endpoint", endpoints: 1, attempts: 1, ..BASE },
    Pattern { name: "one endpoint, nothing else", endpoints: 1, sound_ms: 0, ..BASE },
    Pattern { name: "one endpoint that is back late", endpoints: 1, down_ms: 4_000, ..BASE },
    Pattern { name: "sent now and then", resend_ms: 40_000, sound_ms: 0, ..BASE },
    Pattern { name: "sent now and then, beside others", resend_ms: 40_000, ..BASE },
];

/// What was seen of a pattern.
#[derive(Debug, Default)]
struct Seen {
    /// Times of the runs, each of which crashed an endpoint.
    runs: Vec<u64>,
}

impl Seen {
    fn late(&self) -> usize {
        let third = self.runs.get(2).copied().unwrap_or(u64::MAX);
        self.runs.iter().filter(|at| **at > third.saturating_add(LATE_AFTER_MS)).count()
    }
}

/// Time from a send until its process takes the run for broken, by the evidence that it gets.
fn detection_ms(evidence: CrashEvidence) -> u64 {
    match evidence {
        CrashEvidence::Refused | CrashEvidence::Ended => 5,
        CrashEvidence::Silent => 300,
    }
}

/// Has the caller send the request 60 times.
fn play(pattern: &Pattern, evidence: CrashEvidence) -> Seen {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut entries: Vec<CrashSuspects> =
        (0..pattern.entries).map(|_| CrashSuspects::default()).collect();
    let mut seen = Seen::default();
    let mut down_until: BTreeMap<u64, u64> = BTreeMap::new();
    let (mut sends, mut heartbeats, mut claimed) = (0, 0, 0);
    for time in 0..60 * pattern.resend_ms {
        let at = 1_000 + time;
        if time % pattern.heartbeat_ms == 0 {
            heartbeats += 1;
            if heartbeats % pattern.heartbeats_per_arrival == 0 {
                exchange_heartbeats(&mut entries, &mut rng, Millis(at));
            }
        }
        let is_up = |down_until: &BTreeMap<u64, u64>, endpoint: &u64| {
            down_until.get(endpoint).is_none_or(|until| *until <= at)
        };
        if pattern.sound_ms > 0 && time % pattern.sound_ms == 0 {
            let endpoint = time / pattern.sound_ms % pattern.endpoints;
            if is_up(&down_until, &endpoint) {
                entries.iter_mut().for_each(|e| complete(e, SOUND, endpoint, at));
            }
        }
        if time % pattern.resend_ms != 0 {
            continue;
        }
        let entry = &mut entries[sends % pattern.entries];
        sends += 1;
        let mut sent_at = at;
        for attempt in 0..pattern.attempts {
            let is_free = match permission(entry, POISON, sent_at) {
                Permission::Run => attempt == 0 || entry.may_retry(POISON, Millis(sent_at)),
                Permission::Trial => {
                    // The store grants so many claims, whoever asks.
                    claimed += 1;
                    entry.begin_trial(POISON, claimed, Millis(sent_at));
                    claimed <= MAX_TRIALS
                }
                Permission::Refuse { .. } => false,
            };
            let endpoint = (0..pattern.endpoints).find(|e| is_up(&down_until, e));
            let Some(endpoint) = endpoint.filter(|_| is_free) else { break };
            seen.runs.push(sent_at);
            down_until.insert(endpoint, sent_at + pattern.down_ms);
            let broke_at = sent_at + detection_ms(evidence);
            break_run(entry, (POISON, endpoint), evidence, sent_at, broke_at);
            sent_at = broke_at;
        }
    }
    seen
}

fn exchange_heartbeats(entries: &mut [CrashSuspects], rng: &mut ChaCha8Rng, now: Millis) {
    let sent: Vec<_> = entries.iter().map(|e| e.suspects_to_send(rng, now)).collect();
    for (receiver, entry) in entries.iter_mut().enumerate() {
        for (sender, suspects) in sent.iter().enumerate().filter(|(s, _)| *s != receiver) {
            let head = SuspectSender { name: entry_name(sender), incarnation: 1, sequence: now.0 };
            entry.merge(&head, suspects, now);
        }
    }
}

/// Guards against BUDGET: a request that had crashed three endpoints was sent to others without end
/// where they fell silent, still accepted, or completed little else.
#[test]
fn resent_request_has_few_late_sends() {
    for pattern in PATTERNS {
        for evidence in [CrashEvidence::Refused, CrashEvidence::Ended, CrashEvidence::Silent] {
            let seen = play(pattern, evidence);
            let name = pattern.name;
            assert!(seen.runs.len() >= 3, "{name}, {evidence:?}: {seen:?}");
            assert!(seen.late() <= MAX_LATE_SENDS, "{name}, {evidence:?}: {seen:?}");
        }
    }
}

/// Guards against endpoints taken from others: where these complete, three crashes suffice at first.
#[test]
fn clear_evidence_convicts_after_three_crashes() {
    for pattern in PATTERNS.iter().filter(|p| p.sound_ms == BASE.sound_ms && p.endpoints > 3) {
        let seen = play(pattern, CrashEvidence::Refused);
        let first = seen.runs[0];
        let early = seen.runs.iter().filter(|at| **at < first + 20_000).count();
        assert!(early <= 4, "{}: {seen:?}", pattern.name);
    }
}
