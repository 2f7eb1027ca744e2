//! Graceful stops: a signal that every task of a process can wait for.

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

/// Tells tasks to stop. Clones share the same signal.
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
    /// Tells every task to stop.
    pub fn trigger(&self) {
        self.tx.send_replace(true);
    }

    /// Tells whether the process is stopping.
    pub fn is_triggered(&self) -> bool {
        *self.tx.borrow()
    }

    /// Waits until the process is told to stop.
    pub async fn wait(&self) {
        let mut rx = self.tx.subscribe();
        // The sender lives in `self`, so that waiting can't fail.
        let _always_ok = rx.wait_for(|stopping| *stopping).await;
    }
}

/// Waits for SIGTERM or SIGINT.
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
