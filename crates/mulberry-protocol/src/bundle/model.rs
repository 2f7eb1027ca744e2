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
    /// A model that engines of a service serve.
    #[serde(rename_all = "kebab-case")]
    pub struct Model {
        /// Name used by callers.
        pub name: ModelName,
        /// Version of the weights.
        pub version: ModelVersion,
        /// Service whose engines hold it.
        pub service: ServiceName,
        /// Adapters loaded with it.
        pub adapters: Vec<String>,
        /// Most tokens of prompt and answer.
        pub context_tokens: u32,
    }
}

closed_set! {
    /// The kind of a service's back ends.
    pub enum ServiceKind {
        /// Model engines.
        Engine,
        /// Plain HTTP services.
        Plain,
    }
}

closed_set! {
    /// How far batch fills the engines of a service.
    pub enum BatchFill {
        /// Up to the concurrency of recent online peaks, so that tokens come no slower than they do
        /// in those.
        Gentle,
        /// Up to the concurrency at which tokens still come in time.
        Full,
    }
}

value_type! {
    /// Which calls of a plain service may be repeated.
    #[serde(rename_all = "kebab-case")]
    pub struct Route {
        /// HTTP method, or `*`.
        pub method: String,
        /// Start of the path.
        pub prefix: String,
        /// Whether a call may be repeated.
        pub idempotent: bool,
    }
}

value_type! {
    /// A service of the deployment.
    #[serde(rename_all = "kebab-case")]
    pub struct Service {
        /// Its name.
        pub name: ServiceName,
        /// The kind of its endpoints.
        pub kind: ServiceKind,
        /// Class of requests that are not part of a job.
        pub urgency: Urgency,
        /// How far batch fills its engines.
        pub batch_fill: BatchFill,
        /// Whether its endpoints refuse orders with an old fencing number.
        pub checks_orders: bool,
        /// Time to the first token or byte after which an answer is useless, in milliseconds.
        pub first_token_deadline_ms: u32,
        /// Routes of a plain service, first match counts.
        pub routes: Vec<Route>,
    }
}

impl Service {
    /// Tells whether a call may be repeated. Calls that no route names may not.
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
        /// Its name.
        pub name: ClientName,
        /// Digests of its keys.
        pub key_digests: Vec<Digest>,
        /// Online requests a second, sustained, at one entry.
        pub requests_per_s: u32,
        /// Online requests at once above the sustained rate.
        pub burst: u32,
        /// Share of batch capacity relative to other clients.
        pub batch_weight: u32,
    }
}

closed_set! {
    /// A right of an operator.
    pub enum Right {
        /// Submit bundles.
        Submit,
        /// Sign off bundles.
        SignOff,
        /// Roll bundles.
        Roll,
        /// List and cancel jobs.
        Jobs,
    }
}

value_type! {
    /// A person who operates the deployment.
    #[serde(rename_all = "kebab-case")]
    pub struct Operator {
        /// Name.
        pub name: OperatorName,
        /// Digest of the operator's key.
        pub key_digest: Digest,
        /// Rights.
        pub rights: Vec<Right>,
    }
}

value_type! {
    /// A checked serving bundle.
    #[serde(rename_all = "kebab-case")]
    pub struct Bundle {
        /// Version text, chosen by the author.
        pub version: String,
        /// Days for which results stay readable.
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
    /// Finds the client account that holds the key with `digest`.
    pub fn client_with_key(&self, digest: &Digest) -> Option<&Client> {
        self.clients.values().find(|c| c.key_digests.contains(digest))
    }

    /// Tells whether the operator holds the key and the right.
    pub fn operator_has_right(&self, name: &OperatorName, key: &Digest, right: Right) -> bool {
        self.operators.get(name).is_some_and(|o| o.key_digest == *key && o.rights.contains(&right))
    }

    /// Lists the models of a service.
    pub fn models_of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Model> {
        self.models.values().filter(move |m| m.service == *service)
    }
}

/// Builds a [`Bundle`] in code, for tests and load.
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
    /// Starts an empty bundle.
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

    /// Adds a service of model engines.
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

    /// Adds a client account with one key.
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
