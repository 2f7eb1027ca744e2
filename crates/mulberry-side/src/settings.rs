//! Settings of the side process and the admission settings made from them.

use std::net::SocketAddr;

use mulberry_policy::admission::AdmissionMode;
use mulberry_policy::admission::AdmissionSettings;
use mulberry_policy::concurrency_limit::LimitSettings;
use mulberry_process::logging::LogFormat;
use mulberry_process::settings;
use mulberry_process::settings::SettingValue;
use mulberry_protocol::bundle::ServiceKind;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::name::ZoneName;

/// Kind of an endpoint, written as `engine` or `plain` in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointKind(pub ServiceKind);

impl SettingValue for EndpointKind {
    const EXPECTED: &'static str = "`engine` or `plain`";

    fn from_setting(text: &str) -> Option<Self> {
        match text {
            "engine" => Some(Self(ServiceKind::Engine)),
            "plain" => Some(Self(ServiceKind::Plain)),
            _ => None,
        }
    }

    fn to_setting(&self) -> String {
        match self.0 {
            ServiceKind::Engine => "engine".to_owned(),
            ServiceKind::Plain => "plain".to_owned(),
        }
    }
}

settings! {
    /// Settings of the side process.
    pub struct SideSettings {
        /// Name of the endpoint on this VM
        endpoint: EndpointName = "endpoint";
        /// Service of the endpoint
        service: ServiceName = "service";
        /// Kind of the endpoint: engine or plain
        kind: EndpointKind = "kind", default "engine";
        /// Availability zone of this VM
        zone: ZoneName = "zone";
        /// Address for links (TCP) and heartbeats (UDP)
        listen: SocketAddr = "listen";
        /// Address of the endpoint
        endpoint_address: SocketAddr = "endpoint-address";
        /// Address for /healthz, /readyz and /status
        admin_listen: SocketAddr = "admin-listen", default "127.0.0.1:0";
        /// Shared secrets of the deployment, separated by commas, the one used to sign first
        secrets: String = "secrets", secret true;
        /// Number of threads that serve requests and batch items
        threads: usize = "threads", default "2";
        /// Highest number of concurrent requests on the endpoint
        max_concurrency: u32 = "max-concurrency", default "96";
        /// Concurrency limit of the endpoint until token gaps are measured
        initial_concurrency: u32 = "initial-concurrency", default "24";
        /// Upper bound on the time between tokens, kept by limiting concurrency, in milliseconds
        token_gap_ms: f64 = "token-gap-ms", default "22";
        /// Concurrency slots that batch items leave free for online requests
        headroom: u32 = "headroom", default "1";
        /// Time for running requests to end during a graceful stop, in milliseconds
        drain_ms: u64 = "drain-ms", default "30000";
        /// Address of a statsd server; none if empty
        statsd: Option<SocketAddr> = "statsd", default "";
        /// Format of log lines: text or json
        log_format: LogFormat = "log-format", default "text";
        /// Log filter, such as info or mulberry_side=debug
        log: String = "log", default "info";
    }
}

impl SideSettings {
    /// Returns the admission settings. Batch items are preempted by online requests.
    pub fn admission(&self) -> AdmissionSettings {
        let limit = LimitSettings {
            min: 2,
            max: self.max_concurrency,
            initial: self.initial_concurrency.min(self.max_concurrency),
            gap_target_ms: self.token_gap_ms,
        };
        AdmissionSettings {
            mode: AdmissionMode::Preemptive,
            limit,
            headroom: self.headroom,
            ..AdmissionSettings::default()
        }
    }
}
