//! What every command works with: the store, the operator and the form of output.

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

/// Calls a second that one command may make.
const CALLS_PER_S: f64 = 100.0;

settings! {
    /// Settings of the operator's command.
    pub struct CtlSettings {
        /// Address of the platform's object API
        object_api: SocketAddr = "object-api", default "127.0.0.1:7400";
        /// Token for the object API
        object_api_token: Option<String> = "object-api-token", default "", secret true;
        /// Address of the platform's VM list
        vm_list: SocketAddr = "vm-list", default "127.0.0.1:7500";
        /// Name of the operator
        operator: String = "operator", default "operator";
        /// Key of the operator
        operator_key: String = "operator-key", default "none", secret true;
        /// Addresses of entries for callers, separated by commas, for fleet and status
        entries: Option<String> = "entries", default "";
        /// Shards of the jobs, the same as for the entries
        job_shards: u32 = "job-shards", default "16";
    }
}

/// The context of a command.
pub struct CtlContext {
    /// The settings.
    pub settings: CtlSettings,
    /// The store.
    pub store: Store,
    /// Whether output is JSON.
    pub json: bool,
    clock: Arc<SystemClock>,
}

impl CtlContext {
    /// Makes a context on the calling thread.
    pub fn new(settings: CtlSettings, json: bool) -> Self {
        let clock = Arc::new(SystemClock::default());
        let rates = StoreRates { writes_per_s: CALLS_PER_S, reads_per_s: CALLS_PER_S };
        let metrics = Metrics::new("mulberryshedctl", None);
        let budget = SharedBudget::new(rates, clock.clone(), metrics);
        let address = settings.object_api.to_string();
        let api = HttpObjectApi::new(&address, settings.object_api_token.clone());
        let store = Store::new(Rc::new(api), budget);
        Self { settings, store, json, clock }
    }

    /// Returns the operator's name.
    pub fn operator(&self) -> OperatorName {
        OperatorName::new(&self.settings.operator)
    }

    /// Returns the time in seconds since the Unix epoch.
    pub fn unix_s(&self) -> u64 {
        self.clock.unix_s()
    }

    /// Reads which bundle is in force, with the version of the object.
    pub async fn read_in_force(&self) -> Result<Option<(InForceRecord, u64)>, CtlError> {
        let found = self.store.read_json(CallClass::Lease, object_key::BUNDLE_IN_FORCE).await;
        Ok(found?)
    }

    /// Reads a bundle's content by its digest.
    pub async fn read_content(&self, digest: &Digest) -> Result<BundleContent, CtlError> {
        let key = object_key::bundle_content(digest);
        let found = self.store.read_json(CallClass::Read, &key).await?;
        let not_found = || CtlError::NotFound { kind: "bundle", name: digest.as_str().to_owned() };
        Ok(found.ok_or_else(not_found)?.0)
    }

    /// Checks that the operator has a right by the bundle in force. Before the first roll, the
    /// bundle that is being worked on says who has it.
    pub async fn demand_right(&self, right: Right, first: &Bundle) -> Result<(), CtlError> {
        let key = key_digest(&self.settings.operator_key);
        let may = match self.read_in_force().await? {
            Some((in_force, _)) => {
                let content = self.read_content(&in_force.digest).await?;
                let bundle = parse_bundle(&content.text, "bundle in force")?;
                bundle.operator_has_right(&self.operator(), &key, right)
            }
            None => first.operator_has_right(&self.operator(), &key, right),
        };
        let forbidden = || CtlError::Forbidden { operator: self.settings.operator.clone(), right };
        if may { Ok(()) } else { Err(forbidden()) }
    }
}
