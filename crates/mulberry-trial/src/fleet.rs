//! A running deployment whose processes can be killed, stopped, paused and started again.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use mulberry_ctl::CtlContext;
use mulberry_ctl::CtlError;
use mulberry_ctl::CtlSettings;
use mulberry_ctl::bundle::check::check_text;
use mulberry_ctl::bundle::roll::roll;
use mulberry_ctl::bundle::sign_off::sign_off;
use mulberry_ctl::bundle::submit::submit;
use mulberry_entry::EntryProcess;
use mulberry_entry::EntrySettings;
use mulberry_entry::start_entry;
use mulberry_platform::vm_list::Vm;
use mulberry_platform::vm_list::VmRole;
use mulberry_platform::vm_list::VmState;
use mulberry_process::settings::SettingValue;
use mulberry_protocol::name::ServiceName;
use mulberry_side::SideProcess;
use mulberry_side::SideSettings;
use mulberry_side::start_side;
use mulberry_standin::engine::SharedEngine;
use mulberry_standin::object_api::SharedObjectApi;
use mulberry_standin::object_api::start_object_api;
use mulberry_standin::server::RunningServer;
use mulberry_standin::service::SharedService;
use mulberry_standin::vm_list::SharedVmList;
use mulberry_standin::vm_list::start_vm_list;

use crate::caller::is_ready;
use crate::endpoint::Endpoint;
use crate::endpoint::EndpointHost;
use crate::error::TrialError;
use crate::plan::AUTHOR;
use crate::plan::EndpointPlan;
use crate::plan::FleetPlan;
use crate::plan::PEER_SECRET;
use crate::plan::SIGNER;

/// Longest wait for a deployment to become ready.
const READY_TIME: Duration = Duration::from_secs(20);

/// Time between looks.
const LOOK: Duration = Duration::from_millis(20);

/// Tries to find an address whose TCP and UDP ports are both free.
const BIND_TRIES: u32 = 10;

/// An endpoint with its side.
pub struct SideUnit {
    /// What it was planned as.
    pub plan: EndpointPlan,
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The side, unless it was ended.
    pub process: Option<SideProcess>,
    /// Address of the side's link.
    pub address: SocketAddr,
    settings: SideSettings,
}

/// An entry.
pub struct EntryUnit {
    /// The entry, unless it was ended.
    pub process: Option<EntryProcess>,
    /// Address for callers.
    pub address: SocketAddr,
    owner_address: SocketAddr,
    settings: EntrySettings,
}

/// A running deployment.
pub struct Fleet {
    /// The object API.
    pub object_api: SharedObjectApi,
    /// Its address.
    pub object_api_address: SocketAddr,
    /// The VM list.
    pub vm_list: SharedVmList,
    /// Its address.
    pub vm_list_address: SocketAddr,
    /// Sides by the names of their endpoints.
    pub sides: IndexMap<String, SideUnit>,
    /// Entries by name.
    pub entries: IndexMap<String, EntryUnit>,
    plan: FleetPlan,
    platform: Vec<RunningServer>,
}

impl Fleet {
    /// Starts a deployment without a bundle in force.
    pub async fn start(plan: FleetPlan) -> Result<Self, TrialError> {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let object_api = SharedObjectApi::default();
        let object_server = start_object_api(free, object_api.clone(), None)?;
        let vm_list = SharedVmList::new(Vec::new(), plan.vm_lag_ms);
        let vm_server = start_vm_list(free, vm_list.clone())?;
        let mut fleet = Self {
            object_api,
            object_api_address: object_server.address,
            vm_list,
            vm_list_address: vm_server.address,
            sides: IndexMap::new(),
            entries: IndexMap::new(),
            plan: plan.clone(),
            platform: vec![object_server, vm_server],
        };
        for endpoint in &plan.endpoints {
            fleet.add_side(endpoint.clone()).await?;
        }
        // The list is complete before the entries read it first.
        fleet.vm_list = SharedVmList::new(fleet.list_vms(), plan.vm_lag_ms);
        let vm_server = start_vm_list(free, fleet.vm_list.clone())?;
        fleet.vm_list_address = vm_server.address;
        fleet.platform.push(vm_server);
        for (index, zone) in plan.entry_zones.iter().enumerate() {
            fleet.add_entry(index, zone)?;
        }
        fleet.update_vm_list();
        Ok(fleet)
    }

    async fn add_side(&mut self, plan: EndpointPlan) -> Result<(), TrialError> {
        let endpoint = Endpoint::start(plan.engine.clone()).await?;
        let settings = side_settings(&plan, &self.plan, endpoint.address);
        let mut started = start_side(settings.clone());
        for _ in 0..BIND_TRIES {
            if started.is_ok() {
                break;
            }
            started = start_side(settings.clone());
        }
        let process = started?;
        let address = process.address;
        let settings = SideSettings { listen: address, ..settings };
        let unit =
            SideUnit { endpoint, address, settings, process: Some(process), plan: plan.clone() };
        self.sides.insert(plan.name, unit);
        Ok(())
    }

    /// Starts an entry in a zone.
    pub fn add_entry(&mut self, index: usize, zone: &str) -> Result<(), TrialError> {
        let name = format!("entry-{index}");
        let settings = self.entry_settings(index, &name, zone);
        let process = start_entry(settings.clone())?;
        let (address, owner_address) = (process.address, process.owner_address);
        let settings = EntrySettings { listen: address, owner_listen: owner_address, ..settings };
        let unit = EntryUnit { process: Some(process), address, owner_address, settings };
        self.entries.insert(name, unit);
        Ok(())
    }

    fn entry_settings(&self, index: usize, name: &str, zone: &str) -> EntrySettings {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let data_dir = self.plan.data_dir.as_ref().map(|dir| dir.join(name));
        EntrySettings {
            entry: name.into(),
            zone: zone.into(),
            listen: self.plan.entry_address(index),
            owner_listen: free,
            object_api: self.object_api_address,
            object_api_token: None,
            vm_list: self.vm_list_address,
            secrets: PEER_SECRET.to_owned(),
            data_dir,
            threads: 2,
            job_shards: self.plan.job_shards,
            heartbeat_ms: self.plan.heartbeat_ms,
            vm_list_ms: 500,
            lease_renew_ms: self.plan.lease_renew_ms,
            store_writes_per_s: self.plan.store_rates.0,
            store_reads_per_s: self.plan.store_rates.1,
            near_entries: 3,
            far_entries: 3,
            min_endpoints: 4,
            max_body_bytes: 1024 * 1024,
            max_file_bytes: 200 * 1024 * 1024,
            notice_ms: self.plan.notice_ms,
            drain_ms: 20_000,
            statsd: None,
            log_format: mulberry_process::logging::LogFormat::Text,
            log: "info".to_owned(),
        }
    }

    /// Submits, signs off and rolls a bundle, and returns its number.
    pub async fn roll(&self, text: &str) -> Result<u64, TrialError> {
        let checked = check_text(text.to_owned(), "trial bundle").map_err(TrialError::from)?;
        let author = self.operator_context(AUTHOR);
        let digest = submit(&author, &checked).await?;
        sign_off(&self.operator_context(SIGNER), &digest).await?;
        Ok(roll(&author, &digest).await?)
    }

    /// Returns the context of an operator's commands.
    pub fn operator_context(&self, (name, key): (&str, &str)) -> CtlContext {
        let settings = CtlSettings {
            object_api: self.object_api_address,
            object_api_token: None,
            vm_list: self.vm_list_address,
            operator: name.to_owned(),
            operator_key: key.to_owned(),
            entries: None,
            job_shards: self.plan.job_shards,
        };
        CtlContext::new(settings, false)
    }

    /// Waits until every entry that runs is ready and knows every side that runs.
    pub async fn wait_ready(&self) -> Result<(), TrialError> {
        let started = Instant::now();
        loop {
            let mut ready = true;
            for entry in self.entries.values().filter(|e| e.process.is_some()) {
                let wanted = self.sides.values().filter(|s| s.process.is_some()).count();
                ready &= is_ready(entry.address, wanted).await;
            }
            if ready {
                return Ok(());
            }
            if started.elapsed() > READY_TIME {
                let waited_ms = started.elapsed().as_millis() as u64;
                return Err(TrialError::NotReady { waited_ms });
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Returns the addresses for callers of all entries, those that were ended included.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries.values().map(|e| e.address).collect()
    }

    /// Ends a side at once.
    pub async fn kill_side(&mut self, name: &str) {
        if let Some(process) = self.sides.get_mut(name).and_then(|s| s.process.take()) {
            process.kill().await;
        }
        self.update_vm_list();
    }

    /// Takes a side out for a graceful stop, which the caller awaits.
    pub fn take_side(&mut self, name: &str) -> Option<SideProcess> {
        self.sides.get_mut(name)?.process.take()
    }

    /// Starts a side again at its address.
    pub fn restart_side(&mut self, name: &str) -> Result<(), TrialError> {
        if let Some(unit) = self.sides.get_mut(name)
            && unit.process.is_none()
        {
            unit.process = Some(start_side(unit.settings.clone())?);
        }
        self.update_vm_list();
        Ok(())
    }

    /// Ends an entry at once.
    pub async fn kill_entry(&mut self, name: &str) {
        if let Some(process) = self.entries.get_mut(name).and_then(|e| e.process.take()) {
            process.kill().await;
        }
        self.update_vm_list();
    }

    /// Takes an entry out for a graceful stop, which the caller awaits.
    pub fn take_entry(&mut self, name: &str) -> Option<EntryProcess> {
        self.entries.get_mut(name)?.process.take()
    }

    /// Starts an entry again at its addresses.
    pub fn restart_entry(&mut self, name: &str) -> Result<(), TrialError> {
        if let Some(unit) = self.entries.get_mut(name)
            && unit.process.is_none()
        {
            unit.process = Some(start_entry(unit.settings.clone())?);
        }
        self.update_vm_list();
        Ok(())
    }

    /// Writes the VM list anew; callers see it after its lag.
    pub fn update_vm_list(&self) {
        self.vm_list.set(self.list_vms());
    }

    /// Returns the engines.
    pub fn engines(&self) -> Vec<SharedEngine> {
        let hosts = self.sides.values().map(|s| s.endpoint.host.clone());
        hosts
            .filter_map(|host| match host {
                EndpointHost::Engine(engine) => Some(engine),
                EndpointHost::Service(_) => None,
            })
            .collect()
    }

    /// Returns the plain services.
    pub fn services(&self) -> Vec<SharedService> {
        let hosts = self.sides.values().map(|s| s.endpoint.host.clone());
        hosts
            .filter_map(|host| match host {
                EndpointHost::Service(service) => Some(service),
                EndpointHost::Engine(_) => None,
            })
            .collect()
    }

    /// Stops every process gracefully, the entries first.
    pub async fn stop(mut self) {
        let entries = self.entries.values_mut().filter_map(|e| e.process.take());
        futures_util::future::join_all(entries.map(EntryProcess::stop)).await;
        let sides = self.sides.values_mut().filter_map(|s| s.process.take());
        futures_util::future::join_all(sides.map(SideProcess::stop)).await;
        for (_, side) in self.sides.drain(..) {
            side.endpoint.kill().await;
        }
        for server in &self.platform {
            server.kill().await;
        }
    }

    fn list_vms(&self) -> Vec<Vm> {
        let sides = self.sides.values().filter(|s| s.process.is_some()).map(|unit| Vm {
            name: unit.plan.name.clone(),
            role: VmRole::Endpoint,
            zone: unit.plan.zone.as_str().into(),
            address: unit.address,
            service: Some(ServiceName::new(&unit.plan.service)),
            state: VmState::Live,
        });
        let entries = self.entries.values().filter(|e| e.process.is_some()).map(|unit| Vm {
            name: unit.settings.entry.to_string(),
            role: VmRole::Entry,
            zone: unit.settings.zone.clone(),
            address: unit.owner_address,
            service: None,
            state: VmState::Live,
        });
        sides.chain(entries).collect()
    }
}

fn side_settings(plan: &EndpointPlan, fleet: &FleetPlan, endpoint: SocketAddr) -> SideSettings {
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let kind = if plan.engine.is_some() { "engine" } else { "plain" };
    let fallback = mulberry_side::EndpointKind(mulberry_protocol::bundle::ServiceKind::Plain);
    SideSettings {
        endpoint: plan.name.as_str().into(),
        service: plan.service.as_str().into(),
        kind: SettingValue::from_setting(kind).unwrap_or(fallback),
        zone: plan.zone.as_str().into(),
        listen: free,
        endpoint_address: endpoint,
        admin_listen: free,
        secrets: PEER_SECRET.to_owned(),
        threads: 1,
        max_concurrency: fleet.max_concurrency,
        initial_concurrency: 24,
        token_gap_ms: fleet.token_gap_ms,
        headroom: 1,
        drain_ms: 20_000,
        statsd: None,
        log_format: mulberry_process::logging::LogFormat::Text,
        log: "info".to_owned(),
    }
}

impl From<mulberry_protocol::bundle::BundleErrors> for TrialError {
    fn from(problems: mulberry_protocol::bundle::BundleErrors) -> Self {
        CtlError::from(problems).into()
    }
}
