//! A model engine: continuous batching, a prefix cache with limited memory, resume and cancel.

mod api;
mod host;
mod model;
mod record;
mod settings;
mod text;

pub use api::start_engine;
pub use host::SharedEngine;
pub use model::EngineRequest;
pub use model::EngineSimulation;
pub use model::StepReport;
pub use model::TokenOut;
pub use record::RunOutcome;
pub use record::RunRecord;
pub use settings::EngineFaults;
pub use settings::EngineSettings;
pub use text::answer_tokens;
pub use text::estimate_tokens;
pub use text::expected_answer;
pub use text::prompt_text;
pub use text::token_text;
