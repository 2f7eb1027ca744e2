//! Breaks one promise on purpose, to prove that the checks of experiments can fail.
//!
//! Nothing is broken unless an experiment calls [`inject_fault`]; no program that serves does.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

static BROKEN: AtomicU8 = AtomicU8::new(0);

macro_rules! promises {
    ($($(#[$meta:meta])* $name:ident = $number:literal, $text:literal;)*) => {
        /// A promise that can be broken.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum InjectedFault {
            $($(#[$meta])* $name = $number,)*
        }

        impl InjectedFault {
            /// Lists every promise.
            pub const ALL: &'static [InjectedFault] = &[$(InjectedFault::$name,)*];

            /// Returns the name used on command lines.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(InjectedFault::$name => $text,)*
                }
            }
        }
    };
}

promises! {
    /// A non-idempotent request is repeated without proof that it never started.
    RetryWithoutProof = 1, "retry-without-proof";
    /// A claim of another holder is ignored.
    IgnoreClaim = 2, "ignore-claim";
    /// An older bundle is put in force.
    StaleBundle = 3, "stale-bundle";
    /// Crashes make no suspects.
    ForgetSuspects = 4, "forget-suspects";
    /// A cancel stops nothing.
    IgnoreCancel = 5, "ignore-cancel";
    /// A whole chunk counts as committed without being stored.
    LoseChunk = 6, "lose-chunk";
    /// A request that ran is refused as not run.
    DenyRun = 7, "deny-run";
    /// A cut-off answer counts as whole.
    ShortAnswer = 8, "short-answer";
    /// A planned stop does not wait for what runs.
    StopWithoutDrain = 9, "stop-without-drain";
    /// Calls to the store are not limited.
    UnlimitedCalls = 10, "unlimited-calls";
    /// The store takes writes whatever their condition.
    UnconditionalWrites = 11, "unconditional-writes";
    /// Processes learn of new bundles late.
    LateBundle = 12, "late-bundle";
}

/// Breaks a promise in this process until it ends.
pub fn inject_fault(promise: InjectedFault) {
    BROKEN.store(promise as u8, Ordering::Relaxed);
}

/// Tells whether the promise is broken.
pub fn is_injected(promise: InjectedFault) -> bool {
    BROKEN.load(Ordering::Relaxed) == promise as u8
}
