//! For how long the connections of one thread to each address have been held.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use mulberry_policy::endpoint_continuity::Continuity;
use mulberry_protocol::time::Millis;

/// For how long connections to each address have been held, on the clock of one thread.
#[derive(Debug)]
pub(crate) struct HoldLog {
    began: Instant,
    continuity: Continuity,
}

impl HoldLog {
    fn now(&self) -> Millis {
        Millis(self.began.elapsed().as_millis() as u64)
    }

    /// Returns for how long connections to an address have been held, in milliseconds, or `None` if
    /// there is none.
    pub(crate) fn held_ms(&self, address: SocketAddr) -> Option<u64> {
        self.continuity.held_ms(address, self.now())
    }
}

impl Default for HoldLog {
    fn default() -> Self {
        Self { began: Instant::now(), continuity: Continuity::default() }
    }
}

/// Tells the log of a thread when one of its connections ends.
#[derive(Debug)]
pub(crate) struct HoldGuard {
    log: Rc<RefCell<HoldLog>>,
    address: SocketAddr,
    opened: Millis,
    /// Whether the other end said that it closes the connection.
    is_closing: Rc<Cell<bool>>,
    was_ended: bool,
}

impl HoldGuard {
    /// Records a connection that was just opened.
    pub(crate) fn new(log: Rc<RefCell<HoldLog>>, address: SocketAddr) -> Self {
        let opened = log.borrow().now();
        log.borrow_mut().continuity.record_opened(address, opened);
        Self { log, address, opened, is_closing: Rc::default(), was_ended: false }
    }

    /// Returns the flag to set when the other end says that it closes the connection.
    pub(crate) fn closing_flag(&self) -> Rc<Cell<bool>> {
        self.is_closing.clone()
    }

    /// Records that the other end closed the connection, or that it broke.
    pub(crate) fn end(mut self) {
        self.was_ended = true;
    }
}

impl Drop for HoldGuard {
    fn drop(&mut self) {
        let mut log = self.log.borrow_mut();
        let now = log.now();
        match self.was_ended && !self.is_closing.get() {
            true => log.continuity.record_ended(self.address, self.opened, now),
            false => log.continuity.record_closed(self.address, self.opened),
        }
    }
}
