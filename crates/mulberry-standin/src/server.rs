//! Starts HTTP servers for the stand-ins.

use std::net::SocketAddr;
use std::net::TcpListener;

use actix_web::App;
use actix_web::HttpServer;
use actix_web::dev::ServerHandle;
use actix_web::web;
use miette::Diagnostic;
use thiserror::Error;

/// Why a stand-in could not be started.
#[derive(Debug, Error, Diagnostic)]
pub enum StandinError {
    /// The server can't listen on the address, for example because the port is in use.
    #[error("can't listen on {address}: {source}")]
    #[diagnostic(
        code(mulberryshed::standin::listen),
        help("choose another --listen address; port 0 takes a free one")
    )]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error that the operating system reported.
        source: std::io::Error,
    },
}

/// Handle of a running server. Clones control the same server.
#[derive(Clone)]
pub struct RunningServer {
    /// Address that it listens on, with the port that was chosen if port 0 was asked for.
    pub address: SocketAddr,
    handle: ServerHandle,
}

impl RunningServer {
    /// Stops the server at once and closes its connections, as a crash would.
    pub async fn kill(&self) {
        self.handle.stop(false).await;
    }

    /// Stops the server once its running requests have ended or a few seconds have passed.
    pub async fn stop(&self) {
        self.handle.stop(true).await;
    }
}

/// Largest body that the stand-ins accept, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Time for which idle connections are kept open, in seconds.
const KEEP_ALIVE_TIMEOUT_S: u64 = 75;

/// Starts a server with the routes that `configure` adds, on the calling thread's runtime.
pub fn start_server<F>(
    listen: SocketAddr,
    workers: usize,
    configure: F,
) -> Result<RunningServer, StandinError>
where
    F: Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
{
    let to_error = |source| StandinError::Listen { address: listen, source };
    let listener = TcpListener::bind(listen).map_err(to_error)?;
    let address = listener.local_addr().map_err(to_error)?;
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .configure(configure.clone())
    })
    .workers(workers)
    .keep_alive(std::time::Duration::from_secs(KEEP_ALIVE_TIMEOUT_S))
    .shutdown_timeout(5)
    .disable_signals()
    .listen(listener)
    .map_err(to_error)?
    .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(RunningServer { address, handle })
}
