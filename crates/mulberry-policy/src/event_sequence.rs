//! Decides which blocks of an event stream belong to it, above all where another endpoint continues it:
//! what that one answers may be an error, or another part of the stream.

use mulberry_protocol::closed_set;

closed_set! {
    /// What the lines of a block are, up to the empty line that ends it.
    pub enum BlockForm {
        /// Fields of an event.
        Event,
        /// Comments only.
        Comment,
        /// Something else, such as plain text.
        Malformed,
    }
}

closed_set! {
    /// What a block is in its stream.
    pub enum BlockVerdict {
        /// The next part.
        New,
        /// A part that has come before.
        Repeated,
        /// No part of the stream.
        Foreign,
        /// A part before which another one is missing.
        Gap,
    }
}

impl BlockVerdict {
    /// Returns the verdict's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            BlockVerdict::New => "new",
            BlockVerdict::Repeated => "repeated",
            BlockVerdict::Foreign => "foreign",
            BlockVerdict::Gap => "behind a gap",
        }
    }
}

/// Steps from one number to the next that must all have been one, so that a gap is recognized. Numbers
/// need only increase.
const MIN_STEPS: u32 = 2;

/// HTTP status of a response that is an event stream.
const OK: u16 = 200;

/// Returns whether a response with this HTTP status and type continues a stream.
pub fn is_continuation(status: u16, is_event_stream: bool) -> bool {
    status == OK && is_event_stream
}

/// Follows the numbers of a stream's events, from one run to the next.
#[derive(Debug, Clone, Copy)]
pub struct EventSequence {
    last: Option<u64>,
    /// Steps between numbers within runs, while all were one.
    steps: u32,
    has_gaps: bool,
    /// Whether the present run continues an earlier one.
    is_continued: bool,
    /// Whether no new event of the present run has come.
    is_at_seam: bool,
}

impl EventSequence {
    /// Begins a stream, or continues one after the event `last` if the caller has that. Its number is
    /// not known if it is none.
    pub fn new(is_continued: bool, last: Option<u64>) -> Self {
        Self { last, steps: 0, has_gaps: false, is_continued, is_at_seam: true }
    }

    /// Begins another run, which is to continue after the last event.
    pub fn begin_run(&mut self) {
        self.is_continued |= self.last.is_some();
        self.is_at_seam = true;
    }

    /// Returns the number of the last event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Decides what the next block of the run is, by its form and the number of its event, if it has one.
    pub fn judge(&mut self, form: BlockForm, number: Option<u64>) -> BlockVerdict {
        match (form, number) {
            (BlockForm::Malformed, _) => BlockVerdict::Foreign,
            (BlockForm::Comment, _) => BlockVerdict::New,
            (BlockForm::Event, None) if self.is_continued => BlockVerdict::Foreign,
            (BlockForm::Event, None) => BlockVerdict::New,
            (BlockForm::Event, Some(number)) => self.judge_number(number),
        }
    }

    fn judge_number(&mut self, number: u64) -> BlockVerdict {
        if let Some(last) = self.last {
            if number <= last {
                return BlockVerdict::Repeated;
            }
            let is_next = number == last + 1;
            if !is_next && self.is_at_seam && self.is_consecutive() {
                return BlockVerdict::Gap;
            }
            self.has_gaps |= !is_next;
            self.steps += 1;
        }
        self.last = Some(number);
        self.is_at_seam = false;
        BlockVerdict::New
    }

    fn is_consecutive(&self) -> bool {
        !self.has_gaps && self.steps >= MIN_STEPS
    }
}
