//! Fault injection: violates one guarantee on purpose, to prove that the checks of experiments
//! detect the violation.
//!
//! No fault is active unless an experiment calls [`inject_fault`]; no serving program calls it.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

/// Number of the active fault, or zero.
static INJECTED: AtomicU8 = AtomicU8::new(0);

macro_rules! injected_faults {
    ($($(#[$meta:meta])* $name:ident = $number:literal, $text:literal;)*) => {
        /// A fault that violates one guarantee of the system.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum InjectedFault {
            $($(#[$meta])* $name = $number,)*
        }

        impl InjectedFault {
            /// All faults, in the order of their numbers.
            pub const ALL: &'static [InjectedFault] = &[$(InjectedFault::$name,)*];

            /// Returns the fault's name on command lines.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(InjectedFault::$name => $text,)*
                }
            }
        }
    };
}

injected_faults! {
    /// A non-idempotent request is retried without proof that it never started.
    RetryWithoutProof = 1, "retry-without-proof";
    /// A claim that another process holds on an idempotency key is ignored.
    IgnoreClaim = 2, "ignore-claim";
    /// A bundle older than the one in force replaces it.
    StaleBundle = 3, "stale-bundle";
    /// Requests that ran during a crash are not tracked as suspects.
    ForgetSuspects = 4, "forget-suspects";
    /// A cancelled job goes on as if it had not been cancelled.
    IgnoreCancel = 5, "ignore-cancel";
    /// A complete chunk counts as committed without being stored.
    LoseChunk = 6, "lose-chunk";
    /// A request that ran is reported as not run.
    DenyRun = 7, "deny-run";
    /// A truncated response counts as complete.
    ShortAnswer = 8, "short-answer";
    /// A planned stop does not wait for running requests.
    StopWithoutDrain = 9, "stop-without-drain";
    /// Calls to the store are not rate-limited.
    UnlimitedCalls = 10, "unlimited-calls";
    /// The store applies conditional writes even if their condition does not hold.
    UnconditionalWrites = 11, "unconditional-writes";
    /// Processes load new bundles late.
    LateBundle = 12, "late-bundle";
}

/// Activates a fault in this process for the rest of its lifetime, in place of any earlier one.
pub fn inject_fault(fault: InjectedFault) {
    INJECTED.store(fault as u8, Ordering::Relaxed);
}

/// Returns whether the fault is active.
pub fn is_injected(fault: InjectedFault) -> bool {
    INJECTED.load(Ordering::Relaxed) == fault as u8
}
