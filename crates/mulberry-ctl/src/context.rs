//! State shared by all commands: settings, store client, operator and output format.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use mulberry_platform::object_http::HttpObjectApi;
use mulberry_platform::store::SharedBudget;
use mulberry_platform::store::Store;
use mulberry_policy::store_budget::CallClass;
use mulberry_policy::store_budget::StoreRates;
use mulberry_process::clock::Clock;
use mulberry_process::clock::SystemClock;
use mulberry_process::metrics::Metrics;
use mulberry_process::settings;
use mulberry_protocol::auth::key_digest;
use mulberry_protocol::bundle::Bundle;
use mulberry_protocol::bundle::BundleContent;
use mulberry_protocol::bundle::InForceRecord;
use mulberry_protocol::bundle::Right;
use mulberry_protocol::bundle::parse_bundle;
use mulberry_protocol::digest::Digest;
use mulberry_protocol::name::OperatorName;
use mulberry_protocol::object_key;

use crate::error::CtlError;

/// Limit on the store reads, and on the store writes, of one command, per second.
const STORE_CALLS_PER_S: f64 = 100.0;

settings! {
    /// Settings of `mulberryshedctl`.
    pub struct CtlSettings {
        /// Address of the platform's object API
        object_api: SocketAddr = "object-api", default "127.0.0.1:7400";
        /// Token for the object API
        object_api_token: Option<String> = "object-api-token", default "", secret true;
        /// Address of the platform's VM list
        vm_list: SocketAddr = "vm-list", default "127.0.0.1:7500";
        /// Name of the operator who runs the command
        operator: String = "operator", default "operator";
        /// Key of the operator, checked against the digest in the bundle
        operator_key: String = "operator-key", default "none", secret true;
        /// Caller addresses of the entries that fleet and bundle status ask, separated by commas
        entries: Option<String> = "entries", default "";
        /// Number of job shards, the same as for the entries
        job_shards: u32 = "job-shards", default "16";
    }
}

/// Context that a command runs in.
pub struct CtlContext {
    /// Settings of this invocation.
    pub settings: CtlSettings,
    /// Client of the platform's object API.
    pub store: Store,
    /// Whether to print JSON instead of text and tables.
    pub json: bool,
    clock: Arc<SystemClock>,
}

impl CtlContext {
    /// Creates a context. It stays on the calling thread, as its HTTP client does.
    pub fn new(settings: CtlSettings, json: bool) -> Self {
        let clock = Arc::new(SystemClock::default());
        let rates = StoreRates { writes_per_s: STORE_CALLS_PER_S, reads_per_s: STORE_CALLS_PER_S };
        let metrics = Metrics::new("mulberryshedctl", None);
        let budget = SharedBudget::new(rates, clock.clone(), metrics);
        let address = settings.object_api.to_string();
        let api = HttpObjectApi::new(&address, settings.object_api_token.clone());
        let store = Store::new(Rc::new(api), budget);
        Self { settings, store, json, clock }
    }

    /// Returns the name of the operator who runs the command.
    pub fn operator(&self) -> OperatorName {
        OperatorName::new(&self.settings.operator)
    }

    /// Returns the current time, in seconds since the Unix epoch.
    pub fn unix_s(&self) -> u64 {
        self.clock.unix_s()
    }

    /// Reads the record of the bundle in force and the version of its object, for a conditional
    /// update.
    pub async fn read_in_force(&self) -> Result<Option<(InForceRecord, u64)>, CtlError> {
        let found = self.store.read_json(CallClass::Lease, object_key::BUNDLE_IN_FORCE).await;
        Ok(found?)
    }

    /// Reads the content of the bundle with this digest.
    pub async fn read_content(&self, digest: &Digest) -> Result<BundleContent, CtlError> {
        let key = object_key::bundle_content(digest);
        let found = self.store.read_json(CallClass::Read, &key).await?;
        let not_found = || CtlError::NotFound { kind: "bundle", name: digest.as_str().to_owned() };
        Ok(found.ok_or_else(not_found)?.0)
    }

    /// Checks that the bundle in force grants the operator a right. Before the first roll no bundle
    /// is in force; the check then uses `first`, the bundle that the command works on.
    pub async fn require_right(&self, right: Right, first: &Bundle) -> Result<(), CtlError> {
        let key = key_digest(&self.settings.operator_key);
        let has_right = match self.read_in_force().await? {
            Some((in_force, _)) => {
                let content = self.read_content(&in_force.digest).await?;
                let bundle = parse_bundle(&content.text, "bundle in force")?;
                bundle.operator_has_right(&self.operator(), &key, right)
            }
            None => first.operator_has_right(&self.operator(), &key, right),
        };
        let forbidden = || CtlError::Forbidden { operator: self.settings.operator.clone(), right };
        if has_right { Ok(()) } else { Err(forbidden()) }
    }
}
