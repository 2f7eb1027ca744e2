//! Parses and checks the TOML of a bundle. Reports all errors, each with its location in the text.

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

/// Length of a SHA-256 digest in hexadecimal digits.
const DIGEST_HEX_DIGITS: usize = 64;

/// Longest accepted name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// An error in a bundle.
#[derive(Debug, Clone, PartialEq, Error, Diagnostic)]
pub enum BundleError {
    /// The text is not valid TOML, a field is missing or unknown, or a value has the wrong type.
    #[error("{message}")]
    #[diagnostic(code(mulberryshed::bundle::syntax))]
    Syntax {
        /// Message of the parser.
        message: String,
        /// Location in the text.
        #[label("here")]
        at: SourceSpan,
    },
    /// A name is empty, too long, or has characters that are not allowed in object keys and paths.
    #[error("`{name}` is not a valid name")]
    #[diagnostic(
        code(mulberryshed::bundle::bad_name),
        help("use 1 to 64 letters, digits, `-`, `_` and `.`")
    )]
    BadName {
        /// Name as written.
        name: String,
        /// Location in the text.
        #[label("this name")]
        at: SourceSpan,
    },
    /// Two models, services, client accounts or operators have the same name.
    #[error("the {kind} `{name}` is defined twice")]
    #[diagnostic(code(mulberryshed::bundle::twice), help("remove or rename one of them"))]
    DuplicateName {
        /// What the name stands for, such as `model`.
        kind: &'static str,
        /// Name that is used twice.
        name: String,
        /// Location of the second definition.
        #[label("defined again here")]
        at: SourceSpan,
    },
    /// A model refers to a service that does not exist or is not of the kind `engine`.
    #[error(
        "the model `{model}` refers to `{service}`, which is not an engine service of this bundle"
    )]
    #[diagnostic(
        code(mulberryshed::bundle::unknown_service),
        help("add a [[services]] table with kind = \"engine\", or correct the name")
    )]
    UnknownService {
        /// Name of the model.
        model: String,
        /// Name of the service that the model refers to.
        service: String,
        /// Location in the text.
        #[label("no such engine service")]
        at: SourceSpan,
    },
    /// A value is outside its range.
    #[error("{what} must be from {min} to {max}, not {value}")]
    #[diagnostic(code(mulberryshed::bundle::range))]
    Range {
        /// Name of the field.
        what: &'static str,
        /// Value that is out of range.
        value: u32,
        /// Smallest accepted value.
        min: u32,
        /// Largest accepted value.
        max: u32,
        /// Location in the text.
        #[label("out of range")]
        at: SourceSpan,
    },
    /// A key digest is not a SHA-256 digest in lower-case hexadecimal.
    #[error("`{digest}` is not a key digest")]
    #[diagnostic(
        code(mulberryshed::bundle::bad_digest),
        help("create one with `mulberryshedctl key-digest`; never put the key itself in a bundle")
    )]
    BadDigest {
        /// Text as written.
        digest: String,
        /// Location in the text.
        #[label("64 hexadecimal digits expected")]
        at: SourceSpan,
    },
    /// Two accounts, of clients or operators, have the same key.
    #[error("the key of `{name}` is also used by another account")]
    #[diagnostic(code(mulberryshed::bundle::shared_key), help("give each account its own key"))]
    SharedKey {
        /// Name of the second account.
        name: String,
        /// Location in the text.
        #[label("already used above")]
        at: SourceSpan,
    },
    /// A route's path does not start with a slash.
    #[error("the route prefix `{prefix}` must start with `/`")]
    #[diagnostic(code(mulberryshed::bundle::bad_route))]
    BadRoute {
        /// Prefix as written.
        prefix: String,
        /// Location in the text.
        #[label("here")]
        at: SourceSpan,
    },
}

/// All errors found in a bundle.
#[derive(Debug, Error, Diagnostic)]
#[error("the bundle has {} error(s)", errors.len())]
#[diagnostic(code(mulberryshed::bundle::rejected))]
pub struct BundleErrors {
    /// Text that was checked, with its origin.
    #[source_code]
    pub source_text: NamedSource<String>,
    /// Errors in the order in which they were found.
    #[related]
    pub errors: Vec<BundleError>,
}

/// Parses and checks a bundle. `origin` is the name of its source in error messages.
pub fn parse_bundle(text: &str, origin: &str) -> Result<Bundle, BundleErrors> {
    let reject =
        |errors| BundleErrors { source_text: NamedSource::new(origin, text.to_owned()), errors };
    let document: BundleDocument = match toml::from_str(text) {
        Ok(document) => document,
        Err(e) => {
            let at = span(e.span().unwrap_or(0..0));
            let message = e.message().to_owned();
            return Err(reject(vec![BundleError::Syntax { message, at }]));
        }
    };
    let mut checker = Checker::default();
    let bundle = checker.check_bundle(document);
    if checker.errors.is_empty() { Ok(bundle) } else { Err(reject(checker.errors)) }
}

fn span(range: Range<usize>) -> SourceSpan {
    SourceSpan::from(range)
}

#[derive(Default)]
struct Checker {
    errors: Vec<BundleError>,
    /// Key digests of all accounts so far.
    seen_keys: HashSet<String>,
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
            let service_kind = services.get(&service).map(|s: &Service| s.kind);
            if service_kind != Some(ServiceKind::Engine) {
                self.errors.push(BundleError::UnknownService {
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
                self.report_duplicate("model", &m.name);
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
                    self.errors.push(BundleError::BadRoute { prefix, at });
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
                self.report_duplicate("service", &s.name);
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
                self.report_duplicate("client", &c.name);
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
                self.report_duplicate("operator", &o.name);
            }
        }
        operators
    }

    fn check_key(&mut self, owner: &str, digest: &Spanned<String>) -> Digest {
        let text = digest.get_ref();
        let is_lower_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != DIGEST_HEX_DIGITS || !text.bytes().all(is_lower_hex) {
            let at = span(digest.span());
            self.errors.push(BundleError::BadDigest { digest: text.clone(), at });
        } else if !self.seen_keys.insert(text.clone()) {
            let at = span(digest.span());
            self.errors.push(BundleError::SharedKey { name: owner.to_owned(), at });
        }
        Digest::from_hex(text)
    }

    fn check_name(&mut self, name: &Spanned<String>) {
        let text = name.get_ref();
        let is_valid = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(is_valid) {
            let at = span(name.span());
            self.errors.push(BundleError::BadName { name: text.clone(), at });
        }
    }

    fn check_range(&mut self, what: &'static str, value: &Spanned<u32>, min: u32, max: u32) {
        let number = *value.get_ref();
        if number < min || number > max {
            let at = span(value.span());
            self.errors.push(BundleError::Range { what, value: number, min, max, at });
        }
    }

    fn report_duplicate(&mut self, kind: &'static str, name: &Spanned<String>) {
        let at = span(name.span());
        self.errors.push(BundleError::DuplicateName { kind, name: name.get_ref().clone(), at });
    }
}
