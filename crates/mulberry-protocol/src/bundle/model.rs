//! The checked form of a bundle.

use indexmap::IndexMap;

use crate::closed_set;
use crate::digest::Digest;
use crate::link::Urgency;
use crate::name::ClientName;
use crate::name::ModelName;
use crate::name::ModelVersion;
use crate::name::OperatorName;
use crate::name::ServiceName;
use crate::value_type;

value_type! {
    /// A model that the engines of a service run.
    #[serde(rename_all = "kebab-case")]
    pub struct Model {
        /// Name by which callers request the model.
        pub name: ModelName,
        /// Version of the weights.
        pub version: ModelVersion,
        /// Service whose engines load the model.
        pub service: ServiceName,
        /// Names of the adapters loaded with the model.
        pub adapters: Vec<String>,
        /// Most tokens of a prompt and its response together.
        pub context_tokens: u32,
    }
}

closed_set! {
    /// The kind of a service's endpoints.
    pub enum ServiceKind {
        /// Model engines.
        Engine,
        /// Ordinary HTTP servers.
        Plain,
    }
}

closed_set! {
    /// How much of the concurrency of a service's engines batch items may use.
    pub enum BatchFill {
        /// Up to the concurrency of recent peaks of online requests, so that tokens come no slower
        /// than they do at those peaks.
        Gentle,
        /// Up to the highest concurrency at which tokens still come in time.
        Full,
    }
}

value_type! {
    /// Tells for some requests to a plain service whether they may be run more than once.
    #[serde(rename_all = "kebab-case")]
    pub struct Route {
        /// HTTP method of the requests; `*` for any.
        pub method: String,
        /// Prefix of the requests' paths.
        pub prefix: String,
        /// Whether the requests may be run more than once.
        pub idempotent: bool,
    }
}

value_type! {
    /// A service of the deployment.
    #[serde(rename_all = "kebab-case")]
    pub struct Service {
        /// Name of the service.
        pub name: ServiceName,
        /// The kind of its endpoints.
        pub kind: ServiceKind,
        /// Urgency of requests that are not part of a batch job.
        pub urgency: Urgency,
        /// How much of the engines' concurrency batch items may use.
        pub batch_fill: BatchFill,
        /// Whether its endpoints refuse orders (to load or unload a model) that carry an old
        /// fencing number.
        pub checks_orders: bool,
        /// Time to the first token or byte after which a response is useless, in milliseconds.
        pub first_token_deadline_ms: u32,
        /// Routes of a plain service; the first that matches a request applies.
        pub routes: Vec<Route>,
    }
}

impl Service {
    /// Returns whether a request may be run more than once. Requests to a plain service that match
    /// no route may not.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        match self.kind {
            ServiceKind::Engine => true,
            ServiceKind::Plain => self
                .routes
                .iter()
                .find(|r| (r.method == "*" || r.method == method) && path.starts_with(&r.prefix))
                .is_some_and(|r| r.idempotent),
        }
    }
}

value_type! {
    /// A client account.
    #[serde(rename_all = "kebab-case")]
    pub struct Client {
        /// Name of the account.
        pub name: ClientName,
        /// Digests of its API keys.
        pub key_digests: Vec<Digest>,
        /// Sustained rate of online requests at one entry, per second.
        pub requests_per_s: u32,
        /// Number of online requests that may exceed the sustained rate at once.
        pub burst: u32,
        /// Share of the batch capacity, relative to other client accounts.
        pub batch_weight: u32,
    }
}

closed_set! {
    /// An action that an operator may be allowed to take.
    pub enum Right {
        /// Submitting bundles.
        Submit,
        /// Signing off bundles.
        SignOff,
        /// Rolling bundles, that is, putting them in force.
        Roll,
        /// Listing and cancelling batch jobs.
        Jobs,
    }
}

value_type! {
    /// A person who operates the deployment.
    #[serde(rename_all = "kebab-case")]
    pub struct Operator {
        /// Name of the operator.
        pub name: OperatorName,
        /// Digest of the operator's key.
        pub key_digest: Digest,
        /// Actions that the operator may take.
        pub rights: Vec<Right>,
    }
}

value_type! {
    /// A serving bundle that has been checked.
    #[serde(rename_all = "kebab-case")]
    pub struct Bundle {
        /// Version, as chosen by the author.
        pub version: String,
        /// Number of days for which results can be read.
        pub retention_days: u32,
        /// Models by name.
        pub models: IndexMap<ModelName, Model>,
        /// Services by name.
        pub services: IndexMap<ServiceName, Service>,
        /// Client accounts by name.
        pub clients: IndexMap<ClientName, Client>,
        /// Operators by name.
        pub operators: IndexMap<OperatorName, Operator>,
    }
}

impl Bundle {
    /// Returns the client account that has the API key with this digest.
    pub fn client_with_key(&self, digest: &Digest) -> Option<&Client> {
        self.clients.values().find(|c| c.key_digests.contains(digest))
    }

    /// Returns whether the operator has the right, and `key` is the digest of the operator's key.
    pub fn operator_has_right(&self, name: &OperatorName, key: &Digest, right: Right) -> bool {
        self.operators.get(name).is_some_and(|o| o.key_digest == *key && o.rights.contains(&right))
    }

    /// Returns the models of a service.
    pub fn models_of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Model> {
        self.models.values().filter(move |m| m.service == *service)
    }
}

/// Builds a [`Bundle`] in code, for tests and the load generator. Nothing is checked.
///
/// ```
/// use mulberry_protocol::bundle::BundleBuilder;
/// let bundle = BundleBuilder::new("1").client("kavka", "a-long-key").build();
/// assert_eq!(bundle.clients.len(), 1);
/// ```
#[derive(Debug, Clone)]
pub struct BundleBuilder {
    bundle: Bundle,
}

impl BundleBuilder {
    /// Starts with an empty bundle.
    pub fn new(version: &str) -> Self {
        Self {
            bundle: Bundle {
                version: version.to_owned(),
                retention_days: 30,
                models: IndexMap::new(),
                services: IndexMap::new(),
                clients: IndexMap::new(),
                operators: IndexMap::new(),
            },
        }
    }

    /// Adds an online service of model engines, which check orders.
    pub fn engine_service(self, name: &str, first_token_deadline_ms: u32) -> Self {
        self.service(Service {
            name: name.into(),
            kind: ServiceKind::Engine,
            urgency: Urgency::Online,
            batch_fill: BatchFill::Gentle,
            checks_orders: true,
            first_token_deadline_ms,
            routes: Vec::new(),
        })
    }

    /// Adds a service.
    pub fn service(mut self, service: Service) -> Self {
        self.bundle.services.insert(service.name.clone(), service);
        self
    }

    /// Adds a model to a service.
    pub fn model(mut self, name: &str, version: &str, service: &str) -> Self {
        let model = Model {
            name: name.into(),
            version: version.into(),
            service: service.into(),
            adapters: Vec::new(),
            context_tokens: 8192,
        };
        self.bundle.models.insert(model.name.clone(), model);
        self
    }

    /// Adds a client account with one API key, given in clear text.
    pub fn client(mut self, name: &str, key: &str) -> Self {
        let client = Client {
            name: name.into(),
            key_digests: vec![crate::auth::key_digest(key)],
            requests_per_s: 1000,
            burst: 1000,
            batch_weight: 1,
        };
        self.bundle.clients.insert(client.name.clone(), client);
        self
    }

    /// Returns the bundle.
    pub fn build(self) -> Bundle {
        self.bundle
    }
}
