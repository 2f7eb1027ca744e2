//! A running deployment whose processes can be killed, stopped, paused and restarted one by one.

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
use crate::endpoint::EndpointStandin;
use crate::error::TrialError;
use crate::plan::AUTHOR;
use crate::plan::EndpointPlan;
use crate::plan::FleetPlan;
use crate::plan::PEER_SECRET;
use crate::plan::SIGNER;

/// Timeout for a deployment to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Most retries of a side's start. A side needs one port that is free for both TCP and UDP; the
/// system picks it as free for TCP only.
const BIND_RETRIES: u32 = 10;

/// An endpoint and its side, which may be stopped and restarted.
pub struct SideHandle {
    /// Name, service and zone of the endpoint, as planned.
    pub plan: EndpointPlan,
    /// Stand-in that the side forwards requests to; it keeps running while the side is stopped.
    pub endpoint: Endpoint,
    /// The running side, or `None` while it is stopped.
    pub process: Option<SideProcess>,
    /// Address of the side for links (TCP) and heartbeats (UDP), the same after a restart.
    pub address: SocketAddr,
    settings: SideSettings,
}

/// An entry, which may be stopped and restarted.
pub struct EntryHandle {
    /// The running entry, or `None` while it is stopped.
    pub process: Option<EntryProcess>,
    /// Address for callers, the same after a restart.
    pub address: SocketAddr,
    owner_address: SocketAddr,
    settings: EntrySettings,
}

/// A running deployment with its platform stand-ins.
pub struct Fleet {
    /// Stand-in of the platform's object API, to set faults and read counts.
    pub object_api: SharedObjectApi,
    /// Address of the object API.
    pub object_api_address: SocketAddr,
    /// Stand-in of the platform's VM list.
    pub vm_list: SharedVmList,
    /// Address of the VM list.
    pub vm_list_address: SocketAddr,
    /// Sides by name of their endpoint.
    pub sides: IndexMap<String, SideHandle>,
    /// Entries by name.
    pub entries: IndexMap<String, EntryHandle>,
    plan: FleetPlan,
    platform_servers: Vec<RunningServer>,
}

impl Fleet {
    /// Starts the planned deployment. No bundle is in force until [`Fleet::roll`].
    pub async fn start(plan: FleetPlan) -> Result<Self, TrialError> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let object_api = SharedObjectApi::default();
        let object_server = start_object_api(any_port, object_api.clone(), None)?;
        let vm_list = SharedVmList::new(Vec::new(), plan.vm_lag_ms);
        let vm_server = start_vm_list(any_port, vm_list.clone())?;
        let mut fleet = Self {
            object_api,
            object_api_address: object_server.address,
            vm_list,
            vm_list_address: vm_server.address,
            sides: IndexMap::new(),
            entries: IndexMap::new(),
            plan: plan.clone(),
            platform_servers: vec![object_server, vm_server],
        };
        for endpoint in &plan.endpoints {
            fleet.add_side(endpoint.clone()).await?;
        }
        // A second VM list with every side in it, visible at once: a change to the first list would
        // reach the entries only after its delay.
        fleet.vm_list = SharedVmList::new(fleet.running_vms(), plan.vm_lag_ms);
        let vm_server = start_vm_list(any_port, fleet.vm_list.clone())?;
        fleet.vm_list_address = vm_server.address;
        fleet.platform_servers.push(vm_server);
        for (index, zone) in plan.entry_zones.iter().enumerate() {
            fleet.add_entry(index, zone)?;
        }
        fleet.update_vm_list();
        Ok(fleet)
    }

    async fn add_side(&mut self, plan: EndpointPlan) -> Result<(), TrialError> {
        let endpoint = Endpoint::start(plan.engine.clone()).await?;
        let settings = side_settings(&plan, &self.plan, endpoint.address);
        let mut result = start_side(settings.clone());
        for _ in 0..BIND_RETRIES {
            if result.is_ok() {
                break;
            }
            result = start_side(settings.clone());
        }
        let process = result?;
        let address = process.address;
        let settings = SideSettings { listen: address, ..settings };
        let side =
            SideHandle { endpoint, address, settings, process: Some(process), plan: plan.clone() };
        self.sides.insert(plan.name, side);
        Ok(())
    }

    /// Starts entry number `index` in a zone.
    pub fn add_entry(&mut self, index: usize, zone: &str) -> Result<(), TrialError> {
        let name = format!("entry-{index}");
        let settings = self.entry_settings(index, &name, zone);
        let process = start_entry(settings.clone())?;
        let (address, owner_address) = (process.address, process.owner_address);
        let settings = EntrySettings { listen: address, owner_listen: owner_address, ..settings };
        let entry = EntryHandle { process: Some(process), address, owner_address, settings };
        self.entries.insert(name, entry);
        Ok(())
    }

    fn entry_settings(&self, index: usize, name: &str, zone: &str) -> EntrySettings {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let data_dir = self.plan.data_dir.as_ref().map(|dir| dir.join(name));
        EntrySettings {
            entry: name.into(),
            zone: zone.into(),
            listen: self.plan.entry_address(index),
            owner_listen: any_port,
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

    /// Submits, signs off and rolls a bundle as two operators, and returns its number.
    pub async fn roll(&self, text: &str) -> Result<u64, TrialError> {
        let checked = check_text(text.to_owned(), "trial bundle").map_err(TrialError::from)?;
        let author = self.operator_context(AUTHOR);
        let digest = submit(&author, &checked).await?;
        sign_off(&self.operator_context(SIGNER), &digest).await?;
        Ok(roll(&author, &digest).await?)
    }

    /// Returns a context for running commands as the given operator.
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

    /// Waits until every running entry is ready and knows every running side.
    pub async fn wait_ready(&self) -> Result<(), TrialError> {
        let started = Instant::now();
        loop {
            let mut ready = true;
            for entry in self.entries.values().filter(|e| e.process.is_some()) {
                let sides = self.sides.values().filter(|s| s.process.is_some()).count();
                ready &= is_ready(entry.address, sides).await;
            }
            if ready {
                return Ok(());
            }
            if started.elapsed() > READY_TIMEOUT {
                let waited_ms = started.elapsed().as_millis() as u64;
                return Err(TrialError::NotReady { waited_ms });
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// Returns the caller addresses of all entries, stopped ones included.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries.values().map(|e| e.address).collect()
    }

    /// Stops a side at once, without draining, and removes it from the VM list.
    pub async fn kill_side(&mut self, name: &str) {
        if let Some(process) = self.sides.get_mut(name).and_then(|s| s.process.take()) {
            process.kill().await;
        }
        self.update_vm_list();
    }

    /// Takes a side's process, for the caller to stop gracefully. The VM list keeps the side
    /// until its next update.
    pub fn take_side(&mut self, name: &str) -> Option<SideProcess> {
        self.sides.get_mut(name)?.process.take()
    }

    /// Restarts a stopped side at its former address and updates the VM list.
    pub fn restart_side(&mut self, name: &str) -> Result<(), TrialError> {
        if let Some(side) = self.sides.get_mut(name)
            && side.process.is_none()
        {
            side.process = Some(start_side(side.settings.clone())?);
        }
        self.update_vm_list();
        Ok(())
    }

    /// Stops an entry at once, without draining, and removes it from the VM list.
    pub async fn kill_entry(&mut self, name: &str) {
        if let Some(process) = self.entries.get_mut(name).and_then(|e| e.process.take()) {
            process.kill().await;
        }
        self.update_vm_list();
    }

    /// Takes an entry's process, for the caller to stop gracefully. The VM list keeps the entry
    /// until its next update.
    pub fn take_entry(&mut self, name: &str) -> Option<EntryProcess> {
        self.entries.get_mut(name)?.process.take()
    }

    /// Restarts a stopped entry at its former addresses and updates the VM list.
    pub fn restart_entry(&mut self, name: &str) -> Result<(), TrialError> {
        if let Some(entry) = self.entries.get_mut(name)
            && entry.process.is_none()
        {
            entry.process = Some(start_entry(entry.settings.clone())?);
        }
        self.update_vm_list();
        Ok(())
    }

    /// Sets the VM list to the running processes. Readers see it after the planned delay.
    pub fn update_vm_list(&self) {
        self.vm_list.set(self.running_vms());
    }

    /// Returns the stand-in engines, in the order of the sides.
    pub fn engines(&self) -> Vec<SharedEngine> {
        let standins = self.sides.values().map(|s| s.endpoint.standin.clone());
        standins
            .filter_map(|standin| match standin {
                EndpointStandin::Engine(engine) => Some(engine),
                EndpointStandin::Service(_) => None,
            })
            .collect()
    }

    /// Returns the stand-ins of plain services, in the order of the sides.
    pub fn services(&self) -> Vec<SharedService> {
        let standins = self.sides.values().map(|s| s.endpoint.standin.clone());
        standins
            .filter_map(|standin| match standin {
                EndpointStandin::Service(service) => Some(service),
                EndpointStandin::Engine(_) => None,
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
        for server in &self.platform_servers {
            server.kill().await;
        }
    }

    fn running_vms(&self) -> Vec<Vm> {
        let sides = self.sides.values().filter(|s| s.process.is_some()).map(|side| Vm {
            name: side.plan.name.clone(),
            role: VmRole::Endpoint,
            zone: side.plan.zone.as_str().into(),
            address: side.address,
            service: Some(ServiceName::new(&side.plan.service)),
            state: VmState::Live,
        });
        let entries = self.entries.values().filter(|e| e.process.is_some()).map(|entry| Vm {
            name: entry.settings.entry.to_string(),
            role: VmRole::Entry,
            zone: entry.settings.zone.clone(),
            address: entry.owner_address,
            service: None,
            state: VmState::Live,
        });
        sides.chain(entries).collect()
    }
}

fn side_settings(plan: &EndpointPlan, fleet: &FleetPlan, endpoint: SocketAddr) -> SideSettings {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let kind = if plan.engine.is_some() { "engine" } else { "plain" };
    let fallback = mulberry_side::EndpointKind(mulberry_protocol::bundle::ServiceKind::Plain);
    SideSettings {
        endpoint: plan.name.as_str().into(),
        service: plan.service.as_str().into(),
        kind: SettingValue::from_setting(kind).unwrap_or(fallback),
        zone: plan.zone.as_str().into(),
        listen: any_port,
        endpoint_address: endpoint,
        admin_listen: any_port,
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
    fn from(errors: mulberry_protocol::bundle::BundleErrors) -> Self {
        CtlError::from(errors).into()
    }
}
