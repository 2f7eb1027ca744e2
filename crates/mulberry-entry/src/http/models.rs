//! Handles `GET /v1/models` and `GET /v1/models/{name}`.

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use serde_json::Value;
use serde_json::json;

use mulberry_protocol::bundle::Model;
use mulberry_protocol::name::ModelName;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use super::auth::authenticate;
use super::auth::bundle_in_force;
use super::error::ApiError;
use crate::shared::Shared;

/// Lists the models of the bundle in force.
pub(super) async fn list_models(
    shared: web::Data<Shared>,
    req: HttpRequest,
) -> Result<HttpResponse, ApiError> {
    let loaded = bundle_in_force(&shared)?;
    authenticate(&req, &loaded)?;
    let data: Vec<Value> = loaded.bundle.models.values().map(model_object).collect();
    Ok(HttpResponse::Ok().json(json!({"object": "list", "data": data})))
}

/// Returns one model of the bundle in force.
pub(super) async fn show_model(
    shared: web::Data<Shared>,
    req: HttpRequest,
    name: web::Path<String>,
) -> Result<HttpResponse, ApiError> {
    let loaded = bundle_in_force(&shared)?;
    authenticate(&req, &loaded)?;
    match loaded.bundle.models.get(&ModelName::new(name.as_str())) {
        Some(model) => Ok(HttpResponse::Ok().json(model_object(model))),
        None => Err(Refusal::not_run(RefusalReason::NotFound, "there is no such model").into()),
    }
}

fn model_object(model: &Model) -> Value {
    json!({
        "id": model.name.as_str(),
        "object": "model",
        "created": 0,
        "owned_by": model.service.as_str(),
        "version": model.version.as_str(),
    })
}
