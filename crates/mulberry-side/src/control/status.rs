//! Messages for a graceful stop and for the status shown to operators.

use actix::Handler;
use actix::Message;
use actix::MessageResult;

use mulberry_protocol::heartbeat::Presence;
use mulberry_protocol::link::Urgency;
use mulberry_protocol::name::ModelName;

use crate::control::SideControl;

/// Makes the side refuse new work from now on, and tells every entry.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Leave;

impl Handler<Leave> for SideControl {
    type Result = ();

    fn handle(&mut self, _: Leave, _: &mut Self::Context) {
        self.leaving = true;
        let actions = self.admission.leave();
        self.apply_actions(actions);
        self.send_heartbeats();
    }
}

/// Asks for the status of the process.
#[derive(Message)]
#[rtype(result = "SideStatus")]
pub(crate) struct GetStatus;

/// Status of the process, shown to operators as JSON under `/status`.
#[derive(Debug, Clone, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct SideStatus {
    pub endpoint: String,
    pub presence: Presence,
    /// Whether no request runs or waits in the admission.
    pub idle: bool,
    /// Number of the bundle in force in this process, or zero.
    pub bundle: u64,
    /// Number of the bundle whose models are all ready, or zero.
    pub bundle_done: u64,
    pub models: Vec<ModelName>,
    pub online: u16,
    pub batch: u16,
    /// Concurrency limit of the endpoint.
    pub limit: u16,
    pub entries: usize,
    /// Online requests that wait or run, from the offer until the handler ended.
    pub held_online: usize,
}

impl Handler<GetStatus> for SideControl {
    type Result = MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _: &mut Self::Context) -> Self::Result {
        let load = self.admission.load();
        let online = self.state.requests.values().filter(|r| r.urgency == Urgency::Online);
        MessageResult(SideStatus {
            endpoint: self.settings.endpoint.to_string(),
            presence: self.presence(),
            idle: self.admission.is_idle(),
            bundle: self.bundle.as_ref().map_or(0, |(number, _)| *number),
            bundle_done: self.endpoint_state.bundle_done,
            models: self.endpoint_state.models.clone(),
            online: load.online,
            batch: load.batch,
            limit: load.limit,
            entries: self.state.entries.len(),
            held_online: online.count(),
        })
    }
}
