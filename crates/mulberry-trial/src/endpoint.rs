//! Runs the stand-in of an endpoint on a thread of its own.

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

/// Handle to the stand-in that a side forwards requests to.
#[derive(Clone)]
pub enum EndpointStandin {
    /// Simulates a model engine.
    Engine(SharedEngine),
    /// Simulates a plain service, which has no models.
    Service(SharedService),
}

/// A running stand-in with its server and thread.
pub struct Endpoint {
    /// Address that the stand-in listens on.
    pub address: SocketAddr,
    /// Reads the stand-in's records and sets its faults.
    pub standin: EndpointStandin,
    server: RunningServer,
    thread: Arbiter,
}

impl Endpoint {
    /// Starts an engine with the given settings, or a plain service if there are none.
    pub async fn start(engine: Option<EngineSettings>) -> Result<Self, TrialError> {
        let thread = Arbiter::new();
        let (tx, rx) = oneshot::channel();
        thread.spawn_fn(move || {
            // Fails only if `start` was cancelled and dropped its receiver.
            let _receiver_gone = tx.send(start_standin(engine));
        });
        let (standin, server) = rx.await.map_err(|_| TrialError::Thread)??;
        Ok(Self { address: server.address, standin, server, thread })
    }

    /// Stops the endpoint at once and breaks its connections.
    pub async fn kill(self) {
        self.server.kill().await;
        self.thread.stop();
    }
}

fn start_standin(
    engine: Option<EngineSettings>,
) -> Result<(EndpointStandin, RunningServer), StandinError> {
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    match engine {
        Some(settings) => {
            let engine = SharedEngine::start(settings, &[]);
            let server = start_engine(listen, engine.clone())?;
            Ok((EndpointStandin::Engine(engine), server))
        }
        None => {
            let service = SharedService::default();
            let server = start_service(listen, service.clone())?;
            Ok((EndpointStandin::Service(service), server))
        }
    }
}
