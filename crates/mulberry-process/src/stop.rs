//! Signals for a graceful stop, from the operating system and between the tasks of a process.

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

/// A signal that tells tasks to stop, once and for good. Clones share the same signal.
#[derive(Debug, Clone)]
pub struct StopSignal {
    tx: watch::Sender<bool>,
}

impl Default for StopSignal {
    fn default() -> Self {
        Self { tx: watch::Sender::new(false) }
    }
}

impl StopSignal {
    /// Triggers the signal for every clone.
    pub fn trigger(&self) {
        self.tx.send_replace(true);
    }

    /// Returns whether the signal was triggered.
    pub fn is_triggered(&self) -> bool {
        *self.tx.borrow()
    }

    /// Waits until the signal is triggered. Returns at once if it already was.
    pub async fn wait(&self) {
        let mut rx = self.tx.subscribe();
        // Waiting fails only without a sender, and `self` holds one.
        let _always_ok = rx.wait_for(|stopping| *stopping).await;
    }
}

/// Waits for SIGTERM or SIGINT. Waits forever if no handler can be installed.
pub async fn wait_for_signal() {
    let (Ok(mut term), Ok(mut int)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
