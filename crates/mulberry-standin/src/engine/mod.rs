//! Stand-in for an engine that serves language models. It simulates continuous batching, a prefix
//! cache of limited size, and cancelling and resuming of requests, and answers with made-up text.

mod api;
mod record;
mod settings;
mod simulation;
mod state;
mod text;

pub use api::start_engine;
pub use record::RunOutcome;
pub use record::RunRecord;
pub use settings::EngineFaults;
pub use settings::EngineSettings;
pub use simulation::EngineRequest;
pub use simulation::EngineSimulation;
pub use simulation::GeneratedToken;
pub use simulation::StepReport;
pub use state::SharedEngine;
pub use text::answer_tokens;
pub use text::estimate_tokens;
pub use text::expected_answer;
pub use text::prompt_text;
pub use text::token_text;
