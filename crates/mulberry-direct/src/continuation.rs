//! Requests of callers that take a stream up again: where it may go on.

use std::time::Duration;

use mulberry_policy::endpoint_continuity::REGISTRATION_LAG_MS;
use mulberry_policy::stream_origins::ORIGIN_TTL_MS;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::route::RouteKind;
use mulberry_protocol::stream_origin::StreamOrigin;
use mulberry_protocol::stream_origin::stream_key;

use crate::caller_request::CallerRequest;
use crate::relay::Relay;

impl Relay {
    /// Returns the origin of the stream that the request continues, or none if it continues none.
    /// Refuses it if nobody knows the origin.
    pub(crate) async fn required_origin(
        &self,
        req: &CallerRequest,
    ) -> Result<Option<StreamOrigin>, Refusal> {
        if req.route.kind != RouteKind::Stream || !req.route.resumable || !req.is_continued {
            return Ok(None);
        }
        let origin = match &req.resumes {
            Some(id) => {
                let hold = |likely: &StreamOrigin| self.hold_one(req, likely);
                self.shared.find_origin(req.id_text(), id, stream_key(id.as_bytes()), hold).await
            }
            None => None,
        };
        let origin = match origin {
            Some(origin) => Some(origin),
            None => self.only_origin(req).await,
        };
        let is_target = |o: &StreamOrigin| req.route.targets.iter().any(|t| t.service == o.service);
        match origin.filter(is_target) {
            Some(origin) => Ok(Some(origin)),
            None => {
                let detail = "it is not known which software version began the stream";
                Err(Refusal::not_run(RefusalReason::StreamOrigin, detail))
            }
        }
    }

    /// Opens a connection to an endpoint of the origin, so that its version is certain sooner.
    fn hold_one(&self, req: &CallerRequest, origin: &StreamOrigin) {
        let Ok(choice) = self.choose(req, &[], Some(origin)) else { return };
        let pool = self.pool.clone();
        actix_rt::spawn(async move {
            // A failure shows when the request is sent.
            let _held = pool.hold(choice.endpoint.address).await;
        });
    }

    /// Returns the origin of every stream of the route that can still be taken up, if its service has run
    /// one version only for as long as any caller may wait. What runs now is registered some time later, so
    /// that it has to be the only version until the store says so from then on.
    async fn only_origin(&self, req: &CallerRequest) -> Option<StreamOrigin> {
        let likely = self.only_version(req)?;
        tokio::time::sleep(Duration::from_millis(REGISTRATION_LAG_MS)).await;
        if !self.shared.confirm_endpoints(self.shared.clock.now()).await {
            return None;
        }
        self.only_version(req).filter(|origin| *origin == likely)
    }

    fn only_version(&self, req: &CallerRequest) -> Option<StreamOrigin> {
        let [target] = req.route.targets.as_slice() else { return None };
        let history = self.shared.version_history();
        let now = self.shared.clock.now();
        let software = history.only_version(&target.service, ORIGIN_TTL_MS, now)?.clone();
        Some(StreamOrigin { service: target.service.clone(), software })
    }
}
