//! Client of the object API over HTTP.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hyper::Method;
use hyper::StatusCode;
use hyper::header::AUTHORIZATION;
use hyper::http::request::Builder;

use crate::error::PlatformError;
use crate::http_client::HttpClient;
use crate::http_client::request;
use crate::object_api::ListPage;
use crate::object_api::ListQuery;
use crate::object_api::MAX_VALUE_BYTES;
use crate::object_api::Object;
use crate::object_api::ObjectApi;
use crate::object_api::ObjectDocument;
use crate::object_api::ObjectsDocument;
use crate::object_api::VersionDocument;
use crate::object_api::WatchBatch;
use crate::object_api::WatchEvent;
use crate::object_api::WriteCondition;
use crate::response::bad_answer;
use crate::response::check_status;
use crate::response::no_answer;
use crate::response::parse_response;

/// Response header with the version of the object read.
pub const VERSION_HEADER: &str = "x-object-version";

/// Timeout of a call other than a watch, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// How much longer the timeout of a watch is than the wait asked for, in milliseconds.
const WATCH_TIMEOUT_MARGIN_MS: u64 = 3_000;

/// Largest response to a list or watch accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// Largest response to a write accepted, in bytes.
const MAX_WRITE_RESPONSE_BYTES: usize = 64 * 1024;

/// Makes the calls of the object API over HTTP, with one pool of connections per client.
#[derive(Clone)]
pub struct HttpObjectApi {
    client: HttpClient,
    base_url: String,
    token: Option<String>,
}

impl HttpObjectApi {
    /// Creates a client of the API at `address`, which sends `token`, if any, as a bearer token.
    /// Connects on the first call.
    pub fn new(address: &str, token: Option<String>) -> Self {
        let client = HttpClient::new(CALL_TIMEOUT_MS);
        Self { client, base_url: format!("http://{address}"), token }
    }

    /// Returns a request that bears the token, if there is one.
    fn request(&self, method: Method, url: &str) -> Builder {
        let req = request(method, url);
        match &self.token {
            Some(token) => req.header(AUTHORIZATION, format!("Bearer {token}")),
            None => req,
        }
    }

    fn object_url(&self, key: &str) -> String {
        format!("{}/objects/{key}", self.base_url)
    }
}

impl ObjectApi for HttpObjectApi {
    fn read(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<Object>, PlatformError>> {
        let req = self.request(Method::GET, &self.object_url(key));
        let key = key.to_owned();
        async move {
            let sent = self.client.send(req, Bytes::new()).await;
            let response = sent.map_err(|e| no_answer("read", e))?;
            if response.status() == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            check_key_status("read", &key, response.status())?;
            let version = response
                .headers()
                .get(VERSION_HEADER)
                .and_then(|v| v.to_str().ok())
                .and_then(|v| v.parse().ok())
                .ok_or_else(|| bad_answer("read", "no version"))?;
            let body = response.read(MAX_VALUE_BYTES * 2).await;
            let value = body.map_err(|e| no_answer("read", e))?;
            Ok(Some(Object { key, version, value }))
        }
        .boxed_local()
    }

    fn write(
        &self,
        key: &str,
        value: Bytes,
        condition: WriteCondition,
    ) -> LocalBoxFuture<'_, Result<u64, PlatformError>> {
        let bytes = value.len();
        let req = self.request(Method::PUT, &self.object_url(key));
        let req = match condition {
            WriteCondition::Absent => req.header("if-none-match", "*"),
            WriteCondition::Version(v) => req.header("if-match", v.to_string()),
        };
        let key = key.to_owned();
        async move {
            if bytes > MAX_VALUE_BYTES {
                return Err(PlatformError::TooLarge { bytes });
            }
            let sent = self.client.send(req, value).await;
            let response = sent.map_err(|e| no_answer("write", e))?;
            check_key_status("write", &key, response.status())?;
            let body = response.read(MAX_WRITE_RESPONSE_BYTES).await;
            let body = body.map_err(|e| no_answer("write", e))?;
            let document: VersionDocument = parse_response("write", &body)?;
            Ok(document.version)
        }
        .boxed_local()
    }

    fn delete(&self, key: &str, version: u64) -> LocalBoxFuture<'_, Result<(), PlatformError>> {
        let req = self.request(Method::DELETE, &self.object_url(key));
        let req = req.header("if-match", version.to_string());
        let key = key.to_owned();
        async move {
            let sent = self.client.send(req, Bytes::new()).await;
            let response = sent.map_err(|e| no_answer("delete", e))?;
            match response.status() {
                StatusCode::NOT_FOUND => Ok(()),
                status => check_key_status("delete", &key, status),
            }
        }
        .boxed_local()
    }

    fn list(&self, query: ListQuery) -> LocalBoxFuture<'_, Result<ListPage, PlatformError>> {
        let after = query.after.map_or_else(String::new, |a| format!("&after={a}"));
        let url = format!(
            "{}/list?prefix={}&limit={}&values={}{after}",
            self.base_url, query.prefix, query.limit, query.values
        );
        let req = self.request(Method::GET, &url);
        async move {
            let sent = self.client.send(req, Bytes::new()).await;
            let response = sent.map_err(|e| no_answer("list", e))?;
            check_key_status("list", &query.prefix, response.status())?;
            let body = response.read(MAX_RESPONSE_BYTES).await;
            let body = body.map_err(|e| no_answer("list", e))?;
            let document: ObjectsDocument = parse_response("list", &body)?;
            let objects: Result<Vec<Object>, PlatformError> =
                document.objects.into_iter().map(|o| decode_object("list", o)).collect();
            Ok(ListPage { revision: document.revision, objects: objects?, more: document.more })
        }
        .boxed_local()
    }

    fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait_ms: u64,
    ) -> LocalBoxFuture<'_, Result<WatchBatch, PlatformError>> {
        let url = format!(
            "{}/watch?prefix={prefix}&revision={revision}&wait-ms={wait_ms}",
            self.base_url
        );
        let req = self.request(Method::GET, &url);
        let client = self.client.with_timeout(wait_ms + WATCH_TIMEOUT_MARGIN_MS);
        let prefix = prefix.to_owned();
        async move {
            let response =
                client.send(req, Bytes::new()).await.map_err(|e| no_answer("watch", e))?;
            check_key_status("watch", &prefix, response.status())?;
            let body = response.read(MAX_RESPONSE_BYTES).await;
            let body = body.map_err(|e| no_answer("watch", e))?;
            let document: ObjectsDocument = parse_response("watch", &body)?;
            let mut events = Vec::with_capacity(document.objects.len());
            for object in document.objects {
                let deleted = object.deleted;
                events.push(WatchEvent { object: decode_object("watch", object)?, deleted });
            }
            Ok(WatchBatch { revision: document.revision, events })
        }
        .boxed_local()
    }
}

fn check_key_status(
    call: &'static str,
    key: &str,
    status: StatusCode,
) -> Result<(), PlatformError> {
    match status.as_u16() {
        412 => Err(PlatformError::Conflict { key: key.to_owned() }),
        code => check_status(call, code),
    }
}

fn decode_object(call: &'static str, document: ObjectDocument) -> Result<Object, PlatformError> {
    let value = BASE64_STANDARD.decode(&document.value).map_err(|e| bad_answer(call, e))?;
    Ok(Object { key: document.key, version: document.version, value: Bytes::from(value) })
}
