//! An endpoint stand-in on its own thread.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use actix_rt::Arbiter;
use tokio::sync::oneshot;

use mulberry_standin::engine::EngineSettings;
use mulberry_standin::engine::SharedEngine;
use mulberry_standin::engine::start_engine;
use mulberry_standin::server::RunningServer;
use mulberry_standin::server::StandinError;
use mulberry_standin::service::SharedService;
use mulberry_standin::service::start_service;

use crate::error::TrialError;

/// The stand-in behind a side.
#[derive(Clone)]
pub enum EndpointHost {
    /// A model engine.
    Engine(SharedEngine),
    /// A plain service.
    Service(SharedService),
}

/// A running endpoint.
pub struct Endpoint {
    /// Its address.
    pub address: SocketAddr,
    /// The stand-in.
    pub host: EndpointHost,
    server: RunningServer,
    thread: Arbiter,
}

impl Endpoint {
    /// Starts an engine, or a plain service if no settings are given.
    pub async fn start(engine: Option<EngineSettings>) -> Result<Self, TrialError> {
        let thread = Arbiter::new();
        let (tx, rx) = oneshot::channel();
        thread.spawn_fn(move || {
            // The receiver waits for exactly this message.
            let _receiver_gone = tx.send(start_here(engine));
        });
        let (host, server) = rx.await.map_err(|_| TrialError::Thread)??;
        Ok(Self { address: server.address, host, server, thread })
    }

    /// Ends the endpoint at once.
    pub async fn kill(self) {
        self.server.kill().await;
        self.thread.stop();
    }
}

fn start_here(
    engine: Option<EngineSettings>,
) -> Result<(EndpointHost, RunningServer), StandinError> {
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    match engine {
        Some(settings) => {
            let host = SharedEngine::start(settings, &[]);
            let server = start_engine(listen, host.clone())?;
            Ok((EndpointHost::Engine(host), server))
        }
        None => {
            let host = SharedService::default();
            let server = start_service(listen, host.clone())?;
            Ok((EndpointHost::Service(host), server))
        }
    }
}
