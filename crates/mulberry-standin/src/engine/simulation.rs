//! Simulates an engine step by step: which tokens each step computes and how long it takes. It
//! reads no clock, so that it can run in real time as well as in a simulation.

use std::collections::VecDeque;

use indexmap::IndexMap;
use indexmap::IndexSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::settings::EngineSettings;

/// Bytes of prompt in one block of the prefix cache: 16 tokens of 4 bytes.
const BLOCK_BYTES: usize = 64;

/// Tokens in one block of the prefix cache.
const BLOCK_TOKENS: u32 = 16;

/// A request in the terms of the simulation: sizes and hashes instead of text.
#[derive(Debug, Clone)]
pub struct EngineRequest {
    /// Identifier, unique within the engine.
    pub id: u64,
    /// Hashes of the prompt's full blocks. Each hash also covers the blocks before, so that equal
    /// hashes mean equal prefixes.
    pub blocks: Vec<u64>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Number of tokens of the answer.
    pub answer_tokens: u32,
}

impl EngineRequest {
    /// Creates a request and hashes the blocks of its prompt.
    pub fn new(id: u64, prompt: &str, prompt_tokens: u32, answer_tokens: u32) -> Self {
        let mut hash = 0;
        let blocks = prompt
            .as_bytes()
            .chunks_exact(BLOCK_BYTES)
            .map(|block| {
                hash = xxh3_64_with_seed(block, hash);
                hash
            })
            .collect();
        Self { id, blocks, prompt_tokens, answer_tokens }
    }
}

/// A request with the progress of its computation.
#[derive(Debug, Clone)]
struct Sequence {
    request: EngineRequest,
    /// Prompt tokens that must still be computed before the next token is generated.
    prefill_left: u32,
    computed: u32,
    generated: u32,
}

/// A token that a step generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GeneratedToken {
    /// Identifier of the request.
    pub id: u64,
    /// Position of the token in the answer, from zero.
    pub index: u32,
    /// Whether the token ends the answer.
    pub last: bool,
}

/// Duration and results of one step.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StepReport {
    /// Duration of the step, in microseconds.
    pub duration_us: u64,
    /// Tokens generated at the end of the step.
    pub tokens: Vec<GeneratedToken>,
    /// Identifier of each request whose prompt was computed and the number of tokens computed, in
    /// the order of admission.
    pub computed: Vec<(u64, u32)>,
    /// Hashes of the blocks that the step put into the prefix cache.
    pub cached: Vec<u64>,
}

/// A cancelled sequence whose state is kept so that it can be resumed.
#[derive(Debug, Clone)]
struct CancelledSequence {
    sequence: Sequence,
}

/// A simulated engine: its running batch, its queue and its prefix cache.
#[derive(Debug)]
pub struct EngineSimulation {
    settings: EngineSettings,
    running: IndexMap<u64, Sequence>,
    waiting: VecDeque<Sequence>,
    /// Block hashes in the prefix cache, least recently used first.
    cache: IndexSet<u64>,
    /// Cancelled sequences by identifier, oldest first.
    cancelled: IndexMap<u64, CancelledSequence>,
}

impl EngineSimulation {
    /// Creates an engine without requests and with an empty cache.
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            settings,
            running: IndexMap::new(),
            waiting: VecDeque::new(),
            cache: IndexSet::new(),
            cancelled: IndexMap::new(),
        }
    }

    /// Appends a request to the queue.
    pub fn submit(&mut self, request: EngineRequest) {
        let prefill_left = self.uncached_tokens(&request);
        self.waiting.push_back(Sequence { request, prefill_left, computed: 0, generated: 0 });
    }

    /// Continues the request that was cancelled under the identifier `handle`, under the new
    /// identifier `id`. Returns the number of tokens generated before, or none if its state was
    /// dropped and it must be submitted again.
    pub fn resume(&mut self, handle: u64, id: u64) -> Option<u32> {
        let mut sequence = self.cancelled.shift_remove(&handle)?.sequence;
        sequence.request.id = id;
        let generated = sequence.generated;
        self.waiting.push_back(sequence);
        Some(generated)
    }

    /// Cancels a request and keeps its state under its identifier; the oldest kept state is dropped
    /// if there are too many. Returns the number of tokens generated, or none if the request is
    /// neither running nor waiting.
    pub fn cancel(&mut self, id: u64) -> Option<u32> {
        let sequence = match self.running.shift_remove(&id) {
            Some(sequence) => sequence,
            None => {
                let position = self.waiting.iter().position(|s| s.request.id == id)?;
                self.waiting.remove(position)?
            }
        };
        let generated = sequence.generated;
        if self.cancelled.len() >= self.settings.kept_sequences {
            self.cancelled.shift_remove_index(0);
        }
        self.cancelled.insert(id, CancelledSequence { sequence });
        Some(generated)
    }

    /// Loses all state, as a crash does. Returns the identifiers of the requests that were running
    /// or waiting.
    pub fn crash(&mut self) -> Vec<u64> {
        let lost = self.running.keys().copied();
        let lost = lost.chain(self.waiting.iter().map(|s| s.request.id)).collect();
        *self = Self::new(self.settings.clone());
        lost
    }

    /// Returns whether no request is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns the numbers of running and of waiting sequences.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Runs one step: admits waiting requests, computes up to a chunk of prompt tokens, and
    /// generates one token for each sequence whose prompt is computed.
    pub fn step(&mut self) -> StepReport {
        self.admit();
        let mut report = StepReport::default();
        let mut chunk_left = self.settings.prefill_chunk_tokens;
        let mut decoding_sequences = 0;
        for (id, sequence) in &mut self.running {
            if sequence.prefill_left == 0 {
                decoding_sequences += 1;
            } else {
                let computed = sequence.prefill_left.min(chunk_left);
                sequence.prefill_left -= computed;
                sequence.computed += computed;
                chunk_left -= computed;
                if computed > 0 {
                    report.computed.push((*id, computed));
                }
                if sequence.prefill_left > 0 {
                    continue;
                }
                report.cached.extend(&sequence.request.blocks);
            }
            let index = sequence.generated;
            sequence.generated += 1;
            let last = sequence.generated >= sequence.request.answer_tokens;
            report.tokens.push(GeneratedToken { id: *id, index, last });
        }
        let prefilled_tokens = u64::from(self.settings.prefill_chunk_tokens - chunk_left);
        report.duration_us = self.settings.step_base_us
            + decoding_sequences * self.settings.step_per_sequence_us
            + prefilled_tokens * self.settings.prefill_us_per_token;
        for token in report.tokens.iter().filter(|t| t.last) {
            self.running.shift_remove(&token.id);
        }
        self.add_to_cache(&report.cached);
        report
    }

    /// Moves waiting requests into the running batch, up to its maximum size.
    fn admit(&mut self) {
        while self.running.len() < self.settings.max_sequences {
            let Some(sequence) = self.waiting.pop_front() else { break };
            self.running.insert(sequence.request.id, sequence);
        }
    }

    /// Returns the number of prompt tokens that the prefix cache does not hold, at least one: the
    /// last token is always computed.
    fn uncached_tokens(&self, request: &EngineRequest) -> u32 {
        let cached = request.blocks.iter().take_while(|b| self.cache.contains(*b)).count() as u32;
        request.prompt_tokens.saturating_sub(cached * BLOCK_TOKENS).max(1)
    }

    /// Adds blocks to the prefix cache and evicts the least recently used ones beyond its capacity.
    fn add_to_cache(&mut self, blocks: &[u64]) {
        for block in blocks {
            // Moving a block to the end keeps the set in the order of last use.
            self.cache.shift_remove(block);
            self.cache.insert(*block);
        }
        let excess = self.cache.len().saturating_sub(self.settings.cache_blocks);
        self.cache.drain(..excess);
    }
}
