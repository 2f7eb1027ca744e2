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

/// Tells the log of a thread when one of its connections ends, once.
#[derive(Debug)]
pub(crate) struct HoldGuard {
    log: Rc<RefCell<HoldLog>>,
    address: SocketAddr,
    opened: Millis,
    /// Whether the other end said that it closes the connection.
    is_closing: Cell<bool>,
    is_over: Cell<bool>,
}

impl HoldGuard {
    /// Records a connection that was just opened.
    pub(crate) fn new(log: Rc<RefCell<HoldLog>>, address: SocketAddr) -> Rc<Self> {
        let opened = log.borrow().now();
        log.borrow_mut().continuity.record_opened(address, opened);
        Rc::new(Self {
            log,
            address,
            opened,
            is_closing: Cell::default(),
            is_over: Cell::default(),
        })
    }

    /// Records that the other end closes the connection after its response.
    pub(crate) fn expect_close(&self) {
        self.is_closing.set(true);
    }

    /// Records that the other end closed the connection, or that it broke.
    pub(crate) fn end(&self) {
        if self.is_over.replace(true) {
            return;
        }
        let mut log = self.log.borrow_mut();
        let now = log.now();
        match self.is_closing.get() {
            true => log.continuity.record_closed(self.address, self.opened),
            false => log.continuity.record_ended(self.address, self.opened, now),
        }
    }

    /// Records that this process closes the connection.
    pub(crate) fn close(&self) {
        if !self.is_over.replace(true) {
            self.log.borrow_mut().continuity.record_closed(self.address, self.opened);
        }
    }
}
