//! Callers' requests on batch jobs, which an entry passes on to the owner.

use std::sync::Arc;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use bytes::Bytes;
use hyper::header::HeaderValue;

use mulberry_protocol::account::ClientAccount;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::JobId;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::refusal::RunState;
use mulberry_protocol::route::Route;

use crate::accounts::authenticate;
use crate::accounts::authenticate_again;
use crate::accounts::has_public_jobs;
use crate::caller_head::host_without_port;
use crate::caller_head::parse_number_header;
use crate::caller_response::response_builder;
use crate::caller_response::write_refusal;
use crate::dialect::JobRequest;
use crate::handler::RequestHandler;
use crate::handler::require_configuration;
use crate::handler::require_time;
use crate::job_calls::JobCall;
use crate::job_calls::JobReply;

/// Longest time for which submitting or ending a job waits while the store or the owner is
/// unavailable, in milliseconds.
pub(crate) const SUBMIT_TIMEOUT_MS: u64 = 2_500;

/// Time that the owner has for a read in addition to the wait the caller asked for, in
/// milliseconds.
const READ_MARGIN_MS: u64 = 1_500;

/// What a call on a job leaves behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallEffect {
    /// Nothing: it reads.
    None,
    /// It stores or ends the job, perhaps later than its caller waits.
    Lasting,
}

/// A batch job that a caller submits.
pub(crate) struct Submission {
    pub(crate) route: Arc<Route>,
    pub(crate) account: Option<Arc<ClientAccount>>,
    pub(crate) request_id: HeaderValue,
    pub(crate) body: Bytes,
    /// Time for which the caller waits, in milliseconds.
    pub(crate) left_ms: u64,
}

/// Has a job stored, and returns the response to its caller.
pub(crate) async fn submit_job(
    handler: &RequestHandler,
    req: &HttpRequest,
    submission: Submission,
) -> HttpResponse {
    let Submission { route, account, request_id, body, left_ms } = submission;
    let job = request_id.to_str().unwrap_or("").to_owned();
    let host = host_without_port(req).to_owned();
    let route = route.name.to_string();
    let path = Some(req.path().to_owned());
    let call = JobCall::Submit { job: JobId::new(&job), route, host, body, left_ms, path };
    let call = call.for_account(account.map(|a| a.name.clone()));
    let reply = handler.jobs.call(&call, left_ms).await;
    write_job_reply(handler, req, &job, reply, CallEffect::Lasting)
}

/// Carries out a request on a job.
pub(crate) async fn handle_job_request(
    handler: &RequestHandler,
    req: &HttpRequest,
    request: JobRequest,
) -> Result<HttpResponse, Refusal> {
    let names = handler.shared.dialect.headers();
    let configuration = require_configuration(&handler.shared)?;
    let is_public = has_public_jobs(&configuration, host_without_port(req));
    let account = authenticate(&handler.shared, &configuration, is_public, req)?;
    let wait_ms = parse_number_header(req, &names.wait_ms).unwrap_or(0);
    let (job, call, effect) = match request {
        JobRequest::Results { job, after } => {
            let call = JobCall::Read { job: JobId::new(&job), after, wait_ms };
            (job, call, CallEffect::None)
        }
        JobRequest::ItemBody { job, item } => {
            let call = JobCall::ItemBody { job: JobId::new(&job), item };
            (job, call, CallEffect::None)
        }
        JobRequest::End { job } => {
            let call = JobCall::End { job: JobId::new(&job), left_ms: SUBMIT_TIMEOUT_MS };
            (job, call, CallEffect::Lasting)
        }
    };
    let call = call.for_account(account.as_ref().map(|a| a.name.clone()));
    let longest_ms = wait_ms.saturating_add(READ_MARGIN_MS);
    require_time(&handler.shared, handler.shared.clock.now() + longest_ms)?;
    let reply = handler.jobs.call(&call, longest_ms).await;
    authenticate_again(&handler.shared, &configuration, is_public, req, account)?;
    Ok(write_job_reply(handler, req, &job, reply, effect))
}

fn write_job_reply(
    handler: &RequestHandler,
    req: &HttpRequest,
    job: &str,
    reply: JobReply,
    effect: CallEffect,
) -> HttpResponse {
    let shared = &handler.shared;
    match reply {
        JobReply::Accepted => response_builder(shared, 202).finish(),
        JobReply::Ended | JobReply::Taken => response_builder(shared, 200).finish(),
        JobReply::Page(page) => {
            response_builder(shared, 200).content_type("application/json").body(page)
        }
        JobReply::Body(body) => {
            response_builder(shared, 200).content_type("application/octet-stream").body(body)
        }
        JobReply::NotFound => response_builder(shared, 404).finish(),
        JobReply::OverQuota => {
            let account = shared.count_refused(req);
            log_event!(info, Event::JobRefused, job, account, reason = "over-quota");
            response_builder(shared, 429).finish()
        }
        JobReply::Refused(refusal) => {
            let account = shared.count_refused(req);
            log_event!(
                info,
                Event::JobRefused,
                job,
                account,
                reason = refusal.reason.as_str(),
                run = refusal.run.as_str(),
                detail = refusal.detail
            );
            let unknown = effect == CallEffect::Lasting && refusal.run != RunState::NotRun;
            let status = match refusal.reason {
                RefusalReason::Malformed => 400,
                RefusalReason::Conflict => 409,
                _ if unknown => 504,
                _ => 503,
            };
            write_refusal(shared, status, refusal.retry_after_ms)
        }
    }
}
