//! Leaving, and the state shown to operators.

use actix::Handler;
use actix::Message;
use actix::MessageResult;

use mulberry_protocol::heartbeat::Presence;
use mulberry_protocol::link::Urgency;
use mulberry_protocol::name::ModelName;

use crate::control::SideControl;

/// Takes no new work from now on.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Leave;

impl Handler<Leave> for SideControl {
    type Result = ();

    fn handle(&mut self, _: Leave, _: &mut Self::Context) {
        self.leaving = true;
        let actions = self.admission.leave();
        self.carry_out(actions);
        self.beat_all();
    }
}

/// Asks for the state of the process.
#[derive(Message)]
#[rtype(result = "SideStatus")]
pub(crate) struct AskStatus;

/// The state of the process, for operators.
#[derive(Debug, Clone, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct SideStatus {
    pub endpoint: String,
    pub presence: Presence,
    pub idle: bool,
    pub bundle: u64,
    pub bundle_done: u64,
    pub models: Vec<ModelName>,
    pub online: u16,
    pub batch: u16,
    pub limit: u16,
    pub entries: usize,
    pub held_online: usize,
}

impl Handler<AskStatus> for SideControl {
    type Result = MessageResult<AskStatus>;

    fn handle(&mut self, _: AskStatus, _: &mut Self::Context) -> Self::Result {
        let load = self.admission.load();
        let online = self.state.held.values().filter(|h| h.urgency == Urgency::Online);
        MessageResult(SideStatus {
            endpoint: self.settings.endpoint.to_string(),
            presence: self.presence(),
            idle: self.admission.is_idle(),
            bundle: self.bundle.as_ref().map_or(0, |(number, _)| *number),
            bundle_done: self.engine.bundle_done,
            models: self.engine.models.clone(),
            online: load.online,
            batch: load.batch,
            limit: load.limit,
            entries: self.state.entries.len(),
            held_online: online.count(),
        })
    }
}
