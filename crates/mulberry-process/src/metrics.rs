//! Counters and latency histograms. They are sent to statsd and also kept in the process, which
//! shows them itself.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use hdrhistogram::Histogram;

/// Longest duration that a histogram records, in milliseconds. Longer ones count as this one.
const MAX_DURATION_MS: u64 = 60_000;

/// Significant decimal digits that histograms keep.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Quantiles in the text format.
const QUANTILES: &[f64] = &[0.5, 0.95, 0.99, 1.0];

/// The metrics of one process. Clones share the same counters.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    totals: Arc<Mutex<BTreeMap<String, u64>>>,
    histograms: Arc<Mutex<BTreeMap<String, Histogram<u32>>>>,
}

impl Metrics {
    /// Creates metrics whose names start with `prefix` at `statsd`. Without a statsd server they
    /// are only kept in the process.
    pub fn new(prefix: &str, statsd: Option<SocketAddr>) -> Self {
        let client = match statsd.and_then(udp_sink) {
            Some(sink) => StatsdClient::from_sink(prefix, sink),
            None => StatsdClient::from_sink(prefix, NopMetricSink),
        };
        Self { client: Arc::new(client), totals: Arc::default(), histograms: Arc::default() }
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Adds one to the counter `name.reason`.
    pub fn count_reason(&self, name: &str, reason: &str) {
        self.add(&format!("{name}.{reason}"), 1);
    }

    /// Adds `amount` to a counter.
    pub fn add(&self, name: &str, amount: u64) {
        // A metric that can't be sent must not fail the operation it counts.
        let _unsent = self.client.count(name, amount);
        let mut totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        match totals.get_mut(name) {
            Some(total) => *total += amount,
            None => {
                totals.insert(name.to_owned(), amount);
            }
        }
    }

    /// Sets a gauge. Gauges are only sent to statsd.
    pub fn gauge(&self, name: &str, value: u64) {
        let _unsent = self.client.gauge(name, value);
    }

    /// Records a duration in milliseconds.
    pub fn time_ms(&self, name: &str, duration_ms: u64) {
        let _unsent = self.client.time(name, duration_ms);
        let mut histograms = self.histograms.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(histogram) = histograms.get_mut(name) {
            histogram.saturating_record(duration_ms);
        } else if let Ok(mut histogram) =
            Histogram::new_with_max(MAX_DURATION_MS, SIGNIFICANT_DIGITS)
        {
            histogram.saturating_record(duration_ms);
            histograms.insert(name.to_owned(), histogram);
        }
    }

    /// Returns every counter and the quantiles of every histogram as text, one per line.
    pub fn render_text(&self) -> String {
        let mut text = String::new();
        for (name, total) in self.totals() {
            let _infallible = writeln!(text, "{} {total}", exposition_name(&name));
        }
        let histograms = self.histograms.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, histogram) in histograms.iter() {
            let name = exposition_name(name);
            for quantile in QUANTILES {
                let duration_ms = histogram.value_at_quantile(*quantile);
                let _infallible = writeln!(text, "{name}{{quantile=\"{quantile}\"}} {duration_ms}");
            }
            let _infallible = writeln!(text, "{name}_count {}", histogram.len());
        }
        text
    }

    /// Returns the value of every counter by name.
    pub fn totals(&self) -> BTreeMap<String, u64> {
        self.totals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the value of one counter, or zero if it was never incremented.
    pub fn total(&self, name: &str) -> u64 {
        let totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        totals.get(name).copied().unwrap_or(0)
    }
}

/// Returns the name of a metric in the text format, which allows no dots and dashes.
fn exposition_name(name: &str) -> String {
    name.replace(['.', '-'], "_")
}

/// Returns a sink that sends metrics from a thread of its own, or none if no socket can be opened.
fn udp_sink(address: SocketAddr) -> Option<QueuingMetricSink> {
    let socket = UdpSocket::bind(("0.0.0.0", 0)).ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = BufferedUdpMetricSink::from(address, socket).ok()?;
    Some(QueuingMetricSink::from(sink))
}
