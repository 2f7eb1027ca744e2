//! Counters and latency histograms for statsd, kept in the process too so that it can show them.

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

/// Longest span that a histogram tells apart, in milliseconds.
const MAX_SPAN_MS: u64 = 60_000;

/// Significant digits of spans.
const SPAN_DIGITS: u8 = 2;

/// Quantiles that are shown.
const QUANTILES: &[f64] = &[0.5, 0.95, 0.99, 1.0];

/// The metrics of one process. Clones share the same counters.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    totals: Arc<Mutex<BTreeMap<String, u64>>>,
    spans: Arc<Mutex<BTreeMap<String, Histogram<u32>>>>,
}

impl Metrics {
    /// Makes metrics that are sent to `statsd`, or only counted in the process.
    pub fn new(prefix: &str, statsd: Option<SocketAddr>) -> Self {
        let client = match statsd.and_then(udp_sink) {
            Some(sink) => StatsdClient::from_sink(prefix, sink),
            None => StatsdClient::from_sink(prefix, NopMetricSink),
        };
        Self { client: Arc::new(client), totals: Arc::default(), spans: Arc::default() }
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Adds one to the counter of a reason, named `name.reason`.
    pub fn count_reason(&self, name: &str, reason: &str) {
        self.add(&format!("{name}.{reason}"), 1);
    }

    /// Adds `amount` to a counter.
    pub fn add(&self, name: &str, amount: u64) {
        // A metric that can't be sent must not fail the work it counts.
        let _unsent = self.client.count(name, amount);
        let mut totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        match totals.get_mut(name) {
            Some(total) => *total += amount,
            None => {
                totals.insert(name.to_owned(), amount);
            }
        }
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _unsent = self.client.gauge(name, value);
    }

    /// Notes a span in milliseconds.
    pub fn time_ms(&self, name: &str, span_ms: u64) {
        let _unsent = self.client.time(name, span_ms);
        let mut spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(histogram) = spans.get_mut(name) {
            histogram.saturating_record(span_ms);
        } else if let Ok(mut histogram) = Histogram::new_with_max(MAX_SPAN_MS, SPAN_DIGITS) {
            histogram.saturating_record(span_ms);
            spans.insert(name.to_owned(), histogram);
        }
    }

    /// Writes every counter and the quantiles of every histogram, one a line.
    pub fn render_text(&self) -> String {
        let mut text = String::new();
        for (name, total) in self.totals() {
            let _infallible = writeln!(text, "{} {total}", text_name(&name));
        }
        let spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, histogram) in spans.iter() {
            let name = text_name(name);
            for quantile in QUANTILES {
                let span = histogram.value_at_quantile(*quantile);
                let _infallible = writeln!(text, "{name}{{quantile=\"{quantile}\"}} {span}");
            }
            let _infallible = writeln!(text, "{name}_count {}", histogram.len());
        }
        text
    }

    /// Returns every counter.
    pub fn totals(&self) -> BTreeMap<String, u64> {
        self.totals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns one counter, zero if it was never counted.
    pub fn total(&self, name: &str) -> u64 {
        let totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        totals.get(name).copied().unwrap_or(0)
    }
}

/// Makes a name of the text format out of a counter's.
fn text_name(name: &str) -> String {
    name.replace(['.', '-'], "_")
}

fn udp_sink(address: SocketAddr) -> Option<QueuingMetricSink> {
    let socket = UdpSocket::bind(("0.0.0.0", 0)).ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = BufferedUdpMetricSink::from(address, socket).ok()?;
    Some(QueuingMetricSink::from(sink))
}
