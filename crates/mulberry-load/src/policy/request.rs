//! Requests and batch items in a simulation.

/// State of an online request or batch item.
pub(crate) struct Request {
    pub online: bool,
    pub arrived_us: u64,
    pub prompt: String,
    pub prompt_tokens: u32,
    pub answer_tokens: u32,
    /// Answer tokens received, in the present run and in the runs that it resumed.
    pub received_tokens: u32,
    pub last_token_us: Option<u64>,
    /// Time at which progress was last reported to the admission.
    pub reported_us: u64,
    /// Tokens received at that time.
    pub reported_tokens: u32,
    /// Run whose state the engine kept when it was stopped.
    pub resume_run: Option<u64>,
    /// Number of times that it was started on an engine.
    pub runs: u32,
    /// Whether the present run has produced a token.
    pub has_token: bool,
    /// Sides that it was offered to.
    pub tried: Vec<usize>,
    pub prefix: u32,
    pub preempted_us: u64,
}

impl Request {
    /// Returns a batch item that has not run yet.
    pub fn new(arrived_us: u64, prompt: String, answer_tokens: u32) -> Self {
        Self {
            online: false,
            arrived_us,
            prompt_tokens: prompt.len().div_ceil(4) as u32,
            prompt,
            answer_tokens,
            received_tokens: 0,
            last_token_us: None,
            reported_us: 0,
            reported_tokens: 0,
            resume_run: None,
            runs: 0,
            has_token: false,
            tried: Vec::new(),
            prefix: 0,
            preempted_us: 0,
        }
    }
}
