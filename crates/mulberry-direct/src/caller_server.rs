//! The HTTP server for callers. It reads from each connection no more than one request at a time.

use std::future::ready;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::HttpService;
use actix_http::Protocol;
use actix_http::error::DispatchError;
use actix_rt::net::TcpStream;
use actix_server::Server;
use actix_service::ServiceFactory;
use actix_service::ServiceFactoryExt;
use actix_service::fn_service;
use actix_service::map_config;
use actix_web::App;
use actix_web::Error;
use actix_web::dev::AppConfig;
use actix_web::dev::ServerHandle;
use actix_web::dev::ServiceRequest;
use actix_web::dev::ServiceResponse;
use actix_web::http::KeepAlive;

use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;

use crate::caller_stream::CallerStream;
use crate::caller_table::CallerTable;
use crate::shared::SharedState;

/// Time for which idle connections of callers are kept open at most. The configuration may state less.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Timeout of receiving the head of the first request. The configuration may state less.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for which a connection that is being closed waits for its caller.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes of responses that are buffered for each connection before the caller must read.
const WRITE_BUFFER_BYTES: usize = 16 * 1024;

/// Starts a server on a thread of its own, with the application that the factory makes there. Each request
/// of the application must begin a [`RequestScope`].
///
/// [`RequestScope`]: crate::request_scope::RequestScope
pub fn start_guarded_server<T>(
    shared: &Arc<SharedState>,
    address: SocketAddr,
    max_connections: usize,
    new_app: impl Fn() -> App<T> + Send + Clone + 'static,
) -> std::io::Result<ServerHandle>
where
    T: ServiceFactory<
            ServiceRequest,
            Config = (),
            Response = ServiceResponse,
            Error = Error,
            InitError = (),
        > + 'static,
{
    let for_worker = shared.clone();
    let server = Server::build()
        .workers(1)
        .disable_signals()
        .max_concurrent_connections(max_connections)
        .bind("callers", address, move || {
            let shared = for_worker.clone();
            let table = CallerTable::start(shared.clone(), max_connections);
            let http = HttpService::build()
                .keep_alive(KeepAlive::Timeout(CALLER_IDLE_TIMEOUT))
                .client_request_timeout(HEAD_TIMEOUT)
                .client_disconnect_timeout(DISCONNECT_TIMEOUT)
                .h1_allow_half_closed(false)
                .h1_write_buffer_size(WRITE_BUFFER_BYTES)
                .local_addr(address)
                .on_connect_ext(|stream: &CallerStream, data| {
                    data.insert(stream.connection.clone());
                })
                .finish(map_config(new_app(), |()| AppConfig::default()));
            let accept = move |socket: TcpStream| {
                let peer = socket.peer_addr().ok();
                let stream = CallerStream::new(socket, &shared);
                table.add(&stream.connection);
                ready(Ok::<_, DispatchError>((stream, Protocol::Http1, peer)))
            };
            fn_service(accept).and_then(http)
        })?
        .run();
    let handle = server.handle();
    actix_rt::spawn(async move {
        if let Err(e) = server.await {
            log_event!(error, Event::ProcessStopping, error = %e);
        }
    });
    Ok(handle)
}
