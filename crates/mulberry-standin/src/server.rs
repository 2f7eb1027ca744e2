//! Starts HTTP servers for the stand-ins.

use std::net::SocketAddr;
use std::net::TcpListener;

use actix_web::App;
use actix_web::HttpServer;
use actix_web::dev::ServerHandle;
use actix_web::web;
use miette::Diagnostic;
use thiserror::Error;

/// An error of starting a stand-in.
#[derive(Debug, Error, Diagnostic)]
pub enum StandinError {
    /// The address can't be listened on.
    #[error("can't listen on {address}: {source}")]
    #[diagnostic(
        code(mulberryshed::standin::listen),
        help("choose another --listen address; port 0 takes a free one")
    )]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
}

/// A running server.
#[derive(Clone)]
pub struct RunningServer {
    /// Where it listens.
    pub address: SocketAddr,
    handle: ServerHandle,
}

impl RunningServer {
    /// Ends the server at once, cutting its connections, as a crash would.
    pub async fn kill(&self) {
        self.handle.stop(false).await;
    }

    /// Ends the server after its requests.
    pub async fn stop(&self) {
        self.handle.stop(true).await;
    }
}

/// Largest body that the stand-ins accept, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Time for which unused connections are kept, in seconds.
const KEEP_ALIVE_S: u64 = 75;

/// Starts a server with the routes that `configure` adds.
pub fn start_server<F>(
    listen: SocketAddr,
    workers: usize,
    configure: F,
) -> Result<RunningServer, StandinError>
where
    F: Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
{
    let failed = |source| StandinError::Listen { address: listen, source };
    let listener = TcpListener::bind(listen).map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .configure(configure.clone())
    })
    .workers(workers)
    .keep_alive(std::time::Duration::from_secs(KEEP_ALIVE_S))
    .shutdown_timeout(5)
    .disable_signals()
    .listen(listener)
    .map_err(failed)?
    .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(RunningServer { address, handle })
}
