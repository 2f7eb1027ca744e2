//! The TOML form of a bundle. Values that are checked later keep their location in the text.

use serde::Deserialize;
use toml::Spanned;

use super::model::BatchFill;
use super::model::Right;
use super::model::ServiceKind;
use crate::link::Urgency;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct BundleDocument {
    pub version: Spanned<String>,
    #[serde(default = "default_retention_days")]
    pub retention_days: Spanned<u32>,
    #[serde(default)]
    pub models: Vec<ModelDocument>,
    #[serde(default)]
    pub services: Vec<ServiceDocument>,
    #[serde(default)]
    pub clients: Vec<ClientDocument>,
    #[serde(default)]
    pub operators: Vec<OperatorDocument>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct ModelDocument {
    pub name: Spanned<String>,
    pub version: Spanned<String>,
    pub service: Spanned<String>,
    #[serde(default)]
    pub adapters: Vec<String>,
    #[serde(default = "default_context_tokens")]
    pub context_tokens: Spanned<u32>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct RouteDocument {
    pub method: Spanned<String>,
    pub prefix: Spanned<String>,
    #[serde(default)]
    pub idempotent: bool,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct ServiceDocument {
    pub name: Spanned<String>,
    pub kind: ServiceKind,
    #[serde(default = "default_urgency")]
    pub urgency: Urgency,
    #[serde(default = "default_batch_fill")]
    pub batch_fill: BatchFill,
    #[serde(default)]
    pub checks_orders: bool,
    #[serde(default = "default_first_token_deadline_ms")]
    pub first_token_deadline_ms: Spanned<u32>,
    #[serde(default)]
    pub routes: Vec<RouteDocument>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct ClientDocument {
    pub name: Spanned<String>,
    pub key_digests: Vec<Spanned<String>>,
    #[serde(default = "default_requests_per_s")]
    pub requests_per_s: Spanned<u32>,
    #[serde(default = "default_requests_per_s")]
    pub burst: Spanned<u32>,
    #[serde(default = "default_batch_weight")]
    pub batch_weight: Spanned<u32>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct OperatorDocument {
    pub name: Spanned<String>,
    pub key_digest: Spanned<String>,
    pub rights: Vec<Right>,
}

// Default values do not occur in the text, so their location is empty.

fn default_retention_days() -> Spanned<u32> {
    Spanned::new(0..0, 30)
}

fn default_context_tokens() -> Spanned<u32> {
    Spanned::new(0..0, 8192)
}

fn default_urgency() -> Urgency {
    Urgency::Online
}

fn default_batch_fill() -> BatchFill {
    BatchFill::Gentle
}

fn default_first_token_deadline_ms() -> Spanned<u32> {
    Spanned::new(0..0, 10_000)
}

fn default_requests_per_s() -> Spanned<u32> {
    Spanned::new(0..0, 100)
}

fn default_batch_weight() -> Spanned<u32> {
    Spanned::new(0..0, 1)
}
