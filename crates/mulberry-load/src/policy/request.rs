//! A request or batch item of an experiment.

/// Its state between the router and the engines.
pub(crate) struct Request {
    pub online: bool,
    pub arrived_us: u64,
    pub prompt: String,
    pub prompt_tokens: u32,
    pub answer_tokens: u32,
    pub got: u32,
    pub last_token_us: Option<u64>,
    pub reported_us: u64,
    pub reported_got: u32,
    pub stopped_handle: Option<u64>,
    pub runs: u32,
    /// Whether the present run has brought a token.
    pub begun: bool,
    pub tried: Vec<usize>,
    pub prefix: u32,
    pub preempted_us: u64,
}

impl Request {
    /// Makes a batch item that has not run yet.
    pub fn new(arrived_us: u64, prompt: String, answer_tokens: u32) -> Self {
        Self {
            online: false,
            arrived_us,
            prompt_tokens: prompt.len().div_ceil(4) as u32,
            prompt,
            answer_tokens,
            got: 0,
            last_token_us: None,
            reported_us: 0,
            reported_got: 0,
            stopped_handle: None,
            runs: 0,
            begun: false,
            tried: Vec::new(),
            prefix: 0,
            preempted_us: 0,
        }
    }
}
