//! The engine's arithmetic on a virtual clock: what each step computes and how long it takes.

use std::collections::VecDeque;

use indexmap::IndexMap;
use indexmap::IndexSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::settings::EngineSettings;

/// Bytes of prompt in one block of the prefix cache: 16 tokens of 4 characters.
const BLOCK_BYTES: usize = 64;

/// Tokens in one block.
const BLOCK_TOKENS: u32 = 16;

/// A request as the model sees it.
#[derive(Debug, Clone)]
pub struct EngineRequest {
    /// Identifier, unique within the engine.
    pub id: u64,
    /// Chained hashes of the prompt's whole blocks.
    pub blocks: Vec<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub answer_tokens: u32,
}

impl EngineRequest {
    /// Makes a request from its prompt.
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

#[derive(Debug, Clone)]
struct Sequence {
    request: EngineRequest,
    /// Tokens that must be computed before the next one is generated.
    to_compute: u32,
    computed: u32,
    generated: u32,
}

/// One generated token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenOut {
    /// The request.
    pub id: u64,
    /// Index of the token in the answer.
    pub index: u32,
    /// Whether it is the last one.
    pub last: bool,
}

/// What one step did.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StepReport {
    /// How long it took, in microseconds.
    pub duration_us: u64,
    /// Tokens generated at its end.
    pub tokens: Vec<TokenOut>,
    /// Prompt tokens computed for each request, in the order of admission.
    pub computed: Vec<(u64, u32)>,
    /// Hashes of blocks that entered the cache.
    pub cached: Vec<u64>,
}

/// A stopped sequence kept for a resume.
#[derive(Debug, Clone)]
struct Kept {
    sequence: Sequence,
}

/// The state of an engine.
#[derive(Debug)]
pub struct EngineSimulation {
    settings: EngineSettings,
    running: IndexMap<u64, Sequence>,
    waiting: VecDeque<Sequence>,
    cache: IndexSet<u64>,
    kept: IndexMap<u64, Kept>,
}

impl EngineSimulation {
    /// Makes an idle engine.
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            settings,
            running: IndexMap::new(),
            waiting: VecDeque::new(),
            cache: IndexSet::new(),
            kept: IndexMap::new(),
        }
    }

    /// Takes a request, in order of arrival.
    pub fn submit(&mut self, request: EngineRequest) {
        let to_compute = self.uncached_tokens(&request);
        self.waiting.push_back(Sequence { request, to_compute, computed: 0, generated: 0 });
    }

    /// Continues a stopped request under a new identifier. Returns the tokens generated before, or
    /// none if its state is gone and it must be submitted anew.
    pub fn resume(&mut self, handle: u64, id: u64) -> Option<u32> {
        let mut sequence = self.kept.shift_remove(&handle)?.sequence;
        sequence.request.id = id;
        let generated = sequence.generated;
        self.waiting.push_back(sequence);
        Some(generated)
    }

    /// Stops a request and keeps its state under its identifier. Returns the tokens generated.
    pub fn cancel(&mut self, id: u64) -> Option<u32> {
        let sequence = match self.running.shift_remove(&id) {
            Some(sequence) => sequence,
            None => {
                let position = self.waiting.iter().position(|s| s.request.id == id)?;
                self.waiting.remove(position)?
            }
        };
        let generated = sequence.generated;
        if self.kept.len() >= self.settings.kept_sequences {
            self.kept.shift_remove_index(0);
        }
        self.kept.insert(id, Kept { sequence });
        Some(generated)
    }

    /// Forgets everything, as a crash does. Returns the requests that were running or waiting.
    pub fn crash(&mut self) -> Vec<u64> {
        let lost = self.running.keys().copied();
        let lost = lost.chain(self.waiting.iter().map(|s| s.request.id)).collect();
        *self = Self::new(self.settings.clone());
        lost
    }

    /// Tells whether there is nothing to compute.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns the number of sequences running and waiting.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Computes one step.
    pub fn step(&mut self) -> StepReport {
        self.admit();
        let mut report = StepReport::default();
        let mut chunk = self.settings.prefill_chunk_tokens;
        let mut decoding = 0;
        for (id, sequence) in &mut self.running {
            if sequence.to_compute == 0 {
                decoding += 1;
            } else {
                let computed = sequence.to_compute.min(chunk);
                sequence.to_compute -= computed;
                sequence.computed += computed;
                chunk -= computed;
                if computed > 0 {
                    report.computed.push((*id, computed));
                }
                if sequence.to_compute > 0 {
                    continue;
                }
                report.cached.extend(&sequence.request.blocks);
            }
            let index = sequence.generated;
            sequence.generated += 1;
            let last = sequence.generated >= sequence.request.answer_tokens;
            report.tokens.push(TokenOut { id: *id, index, last });
        }
        let prefill = u64::from(self.settings.prefill_chunk_tokens - chunk);
        report.duration_us = self.settings.step_base_us
            + decoding * self.settings.step_per_sequence_us
            + prefill * self.settings.prefill_us_per_token;
        for token in report.tokens.iter().filter(|t| t.last) {
            self.running.shift_remove(&token.id);
        }
        self.remember(&report.cached);
        report
    }

    fn admit(&mut self) {
        while self.running.len() < self.settings.max_sequences {
            let Some(sequence) = self.waiting.pop_front() else { break };
            self.running.insert(sequence.request.id, sequence);
        }
    }

    /// Returns the tokens of a prompt that the cache does not hold. The last token is always
    /// computed.
    fn uncached_tokens(&self, request: &EngineRequest) -> u32 {
        let cached = request.blocks.iter().take_while(|b| self.cache.contains(*b)).count() as u32;
        request.prompt_tokens.saturating_sub(cached * BLOCK_TOKENS).max(1)
    }

    fn remember(&mut self, blocks: &[u64]) {
        for block in blocks {
            // Moving a block to the end keeps the set in order of last use.
            self.cache.shift_remove(block);
            self.cache.insert(*block);
        }
        let excess = self.cache.len().saturating_sub(self.settings.cache_blocks);
        self.cache.drain(..excess);
    }
}
