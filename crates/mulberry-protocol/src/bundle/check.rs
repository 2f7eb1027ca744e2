//! Checks a bundle's TOML and reports every mistake with its place.

use std::collections::HashSet;
use std::ops::Range;

use indexmap::IndexMap;
use miette::Diagnostic;
use miette::NamedSource;
use miette::SourceSpan;
use thiserror::Error;
use toml::Spanned;

use super::document::BundleDocument;
use super::document::ClientDocument;
use super::document::OperatorDocument;
use super::document::ServiceDocument;
use super::model::Bundle;
use super::model::Client;
use super::model::Model;
use super::model::Operator;
use super::model::Route;
use super::model::Service;
use super::model::ServiceKind;
use crate::digest::Digest;
use crate::name::ClientName;
use crate::name::ModelName;
use crate::name::OperatorName;
use crate::name::ServiceName;

const DIGEST_DIGITS: usize = 64;
const MAX_NAME_BYTES: usize = 64;

/// One mistake in a bundle.
#[derive(Debug, Clone, PartialEq, Error, Diagnostic)]
pub enum BundleError {
    /// The text is no TOML, or a value has the wrong type.
    #[error("{message}")]
    #[diagnostic(code(mulberryshed::bundle::syntax))]
    Syntax {
        /// What the parser says.
        message: String,
        /// Where.
        #[label("here")]
        at: SourceSpan,
    },
    /// A name is empty, too long or has characters that keys and paths can't hold.
    #[error("`{name}` is no valid name")]
    #[diagnostic(
        code(mulberryshed::bundle::bad_name),
        help("use 1 to 64 letters, digits, `-`, `_` and `.`")
    )]
    BadName {
        /// The name.
        name: String,
        /// Where.
        #[label("this name")]
        at: SourceSpan,
    },
    /// Two things of a kind have the same name.
    #[error("the {kind} `{name}` stands twice")]
    #[diagnostic(code(mulberryshed::bundle::twice), help("remove or rename one of them"))]
    Twice {
        /// The kind.
        kind: &'static str,
        /// The name.
        name: String,
        /// Where the second one stands.
        #[label("stands here again")]
        at: SourceSpan,
    },
    /// A model names a service that does not exist or has no engines.
    #[error("the model `{model}` names `{service}`, which is no engine service of this bundle")]
    #[diagnostic(
        code(mulberryshed::bundle::unknown_service),
        help("add a [[services]] table with kind = \"engine\", or correct the name")
    )]
    UnknownService {
        /// The model.
        model: String,
        /// The service it names.
        service: String,
        /// Where.
        #[label("no such engine service")]
        at: SourceSpan,
    },
    /// A value is outside its range.
    #[error("{what} must be from {min} to {max}, not {value}")]
    #[diagnostic(code(mulberryshed::bundle::range))]
    Range {
        /// The value's name.
        what: &'static str,
        /// The value.
        value: u32,
        /// Smallest accepted.
        min: u32,
        /// Largest accepted.
        max: u32,
        /// Where.
        #[label("out of range")]
        at: SourceSpan,
    },
    /// A key digest is no SHA-256 digest.
    #[error("`{digest}` is no key digest")]
    #[diagnostic(
        code(mulberryshed::bundle::bad_digest),
        help("make one with `mulberryshedctl key-digest`; never put the key itself in a bundle")
    )]
    BadDigest {
        /// The text.
        digest: String,
        /// Where.
        #[label("64 hexadecimal digits expected")]
        at: SourceSpan,
    },
    /// Two accounts share a key.
    #[error("the key of `{name}` belongs to another account too")]
    #[diagnostic(code(mulberryshed::bundle::shared_key), help("give each account its own key"))]
    SharedKey {
        /// The second account.
        name: String,
        /// Where.
        #[label("used before")]
        at: SourceSpan,
    },
    /// A route's path does not start with a slash.
    #[error("the route prefix `{prefix}` must start with `/`")]
    #[diagnostic(code(mulberryshed::bundle::bad_route))]
    BadRoute {
        /// The prefix.
        prefix: String,
        /// Where.
        #[label("here")]
        at: SourceSpan,
    },
}

/// Every mistake found in one bundle.
#[derive(Debug, Error, Diagnostic)]
#[error("the bundle has {} mistake(s)", problems.len())]
#[diagnostic(code(mulberryshed::bundle::rejected))]
pub struct BundleErrors {
    /// The text that was checked.
    #[source_code]
    pub source_text: NamedSource<String>,
    /// The mistakes.
    #[related]
    pub problems: Vec<BundleError>,
}

/// Parses and checks a bundle. `origin` is the file's name, for messages.
pub fn parse_bundle(text: &str, origin: &str) -> Result<Bundle, BundleErrors> {
    let report = |problems| BundleErrors {
        source_text: NamedSource::new(origin, text.to_owned()),
        problems,
    };
    let document: BundleDocument = match toml::from_str(text) {
        Ok(document) => document,
        Err(e) => {
            let at = span(e.span().unwrap_or(0..0));
            let message = e.message().to_owned();
            return Err(report(vec![BundleError::Syntax { message, at }]));
        }
    };
    let mut checker = Checker::default();
    let bundle = checker.check_bundle(document);
    if checker.problems.is_empty() { Ok(bundle) } else { Err(report(checker.problems)) }
}

fn span(range: Range<usize>) -> SourceSpan {
    SourceSpan::from(range)
}

#[derive(Default)]
struct Checker {
    problems: Vec<BundleError>,
    keys: HashSet<String>,
}

impl Checker {
    fn check_bundle(&mut self, document: BundleDocument) -> Bundle {
        self.check_name(&document.version);
        self.check_range("retention-days", &document.retention_days, 1, 3650);
        let services = self.check_services(document.services);
        let mut models = IndexMap::new();
        for m in document.models {
            self.check_name(&m.name);
            self.check_name(&m.version);
            self.check_range("context-tokens", &m.context_tokens, 16, 1_000_000);
            let service = ServiceName::new(m.service.get_ref());
            let serves = services.get(&service).map(|s: &Service| s.kind);
            if serves != Some(ServiceKind::Engine) {
                self.problems.push(BundleError::UnknownService {
                    model: m.name.get_ref().clone(),
                    service: m.service.get_ref().clone(),
                    at: span(m.service.span()),
                });
            }
            let model = Model {
                name: ModelName::new(m.name.get_ref()),
                version: m.version.get_ref().as_str().into(),
                service,
                adapters: m.adapters,
                context_tokens: *m.context_tokens.get_ref(),
            };
            if models.insert(model.name.clone(), model).is_some() {
                self.report_twice("model", &m.name);
            }
        }
        Bundle {
            version: document.version.into_inner(),
            retention_days: document.retention_days.into_inner(),
            models,
            services,
            clients: self.check_clients(document.clients),
            operators: self.check_operators(document.operators),
        }
    }

    fn check_services(&mut self, list: Vec<ServiceDocument>) -> IndexMap<ServiceName, Service> {
        let mut services = IndexMap::new();
        for s in list {
            self.check_name(&s.name);
            let deadline = &s.first_token_deadline_ms;
            self.check_range("first-token-deadline-ms", deadline, 10, 3_600_000);
            for route in &s.routes {
                if !route.prefix.get_ref().starts_with('/') {
                    let prefix = route.prefix.get_ref().clone();
                    let at = span(route.prefix.span());
                    self.problems.push(BundleError::BadRoute { prefix, at });
                }
            }
            let routes = s.routes.into_iter().map(|r| Route {
                method: r.method.into_inner(),
                prefix: r.prefix.into_inner(),
                idempotent: r.idempotent,
            });
            let service = Service {
                name: ServiceName::new(s.name.get_ref()),
                kind: s.kind,
                urgency: s.urgency,
                batch_fill: s.batch_fill,
                checks_orders: s.checks_orders,
                first_token_deadline_ms: *s.first_token_deadline_ms.get_ref(),
                routes: routes.collect(),
            };
            if services.insert(service.name.clone(), service).is_some() {
                self.report_twice("service", &s.name);
            }
        }
        services
    }

    fn check_clients(&mut self, list: Vec<ClientDocument>) -> IndexMap<ClientName, Client> {
        let mut clients = IndexMap::new();
        for c in list {
            self.check_name(&c.name);
            self.check_range("requests-per-s", &c.requests_per_s, 1, 1_000_000);
            self.check_range("burst", &c.burst, 1, 1_000_000);
            self.check_range("batch-weight", &c.batch_weight, 1, 1000);
            let digests = c.key_digests.iter();
            let key_digests = digests.map(|d| self.check_key(c.name.get_ref(), d)).collect();
            let client = Client {
                name: ClientName::new(c.name.get_ref()),
                key_digests,
                requests_per_s: *c.requests_per_s.get_ref(),
                burst: *c.burst.get_ref(),
                batch_weight: *c.batch_weight.get_ref(),
            };
            if clients.insert(client.name.clone(), client).is_some() {
                self.report_twice("client", &c.name);
            }
        }
        clients
    }

    fn check_operators(&mut self, list: Vec<OperatorDocument>) -> IndexMap<OperatorName, Operator> {
        let mut operators = IndexMap::new();
        for o in list {
            self.check_name(&o.name);
            let key_digest = self.check_key(o.name.get_ref(), &o.key_digest);
            let name = OperatorName::new(o.name.get_ref());
            let operator = Operator { name: name.clone(), key_digest, rights: o.rights };
            if operators.insert(name, operator).is_some() {
                self.report_twice("operator", &o.name);
            }
        }
        operators
    }

    fn check_key(&mut self, owner: &str, digest: &Spanned<String>) -> Digest {
        let text = digest.get_ref();
        let lower_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != DIGEST_DIGITS || !text.bytes().all(lower_hex) {
            let at = span(digest.span());
            self.problems.push(BundleError::BadDigest { digest: text.clone(), at });
        } else if !self.keys.insert(text.clone()) {
            let at = span(digest.span());
            self.problems.push(BundleError::SharedKey { name: owner.to_owned(), at });
        }
        Digest::from_hex(text)
    }

    fn check_name(&mut self, name: &Spanned<String>) {
        let text = name.get_ref();
        let valid = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(valid) {
            let at = span(name.span());
            self.problems.push(BundleError::BadName { name: text.clone(), at });
        }
    }

    fn check_range(&mut self, what: &'static str, value: &Spanned<u32>, min: u32, max: u32) {
        let number = *value.get_ref();
        if number < min || number > max {
            let at = span(value.span());
            self.problems.push(BundleError::Range { what, value: number, min, max, at });
        }
    }

    fn report_twice(&mut self, kind: &'static str, name: &Spanned<String>) {
        let at = span(name.span());
        self.problems.push(BundleError::Twice { kind, name: name.get_ref().clone(), at });
    }
}
