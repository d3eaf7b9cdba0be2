//! OpenTelemetry metrics, exported in the Prometheus text format.

use std::time::Duration;

use lapismoor_core::ids::{ServiceId, TargetId};
use lapismoor_core::routing::PacePercent;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bucket bounds of the latency histograms, in seconds: from a plain service call to the longest
/// stream.
const LATENCY_BOUNDS_S: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

/// Metrics of a daemon.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    request_duration: Histogram<f64>,
    request_wait: Histogram<f64>,
    first_event: Histogram<f64>,
    event_gap: Histogram<f64>,
    load_age: Histogram<f64>,
    requests_refused: Counter<u64>,
    requests_delayed: Counter<u64>,
    requests_failed: Counter<u64>,
    attempts_failed: Counter<u64>,
    requests_limited: Counter<u64>,
    permits: Counter<u64>,
    target_limit: Gauge<f64>,
    target_share: Gauge<f64>,
    /// Targets that take fewer requests because they are cold.
    pub cold_targets: Gauge<u64>,
    target_pace: Gauge<u64>,
    /// Connections opened to targets since the start.
    pub connections_opened: Counter<u64>,
    /// Metrics of the paths to targets.
    pub paths: PathMetrics,
    store_calls: Counter<u64>,
    /// Times that the store was found to be restored from a copy.
    pub store_restores: Counter<u64>,
    retries_left: Gauge<u64>,
    buffered_bytes: Gauge<u64>,
    connections: Gauge<u64>,
    connection_bytes: Gauge<u64>,
    connections_closed: Counter<u64>,
    /// Number of evacuated failure domains.
    pub evacuated_domains: Gauge<u64>,
}

/// Metrics of the paths to targets.
pub struct PathMetrics {
    lost: Gauge<u64>,
    asked: Counter<u64>,
    served: Counter<u64>,
}

impl PathMetrics {
    fn new(meter: &Meter) -> Self {
        let counter = |name, description| {
            let builder = meter.u64_counter(name);
            builder.with_description(description).build()
        };
        Self {
            lost: meter
                .u64_gauge("lapismoor.path.lost")
                .with_description("Targets that this daemon reaches through other daemons only")
                .build(),
            asked: counter(
                "lapismoor.relay.asked",
                "Connections to targets for which another daemon was asked, by result",
            ),
            served: counter(
                "lapismoor.relay.served",
                "Connections to targets for which other daemons asked, by result",
            ),
        }
    }

    pub(crate) fn record_lost(&self, paths: usize) {
        self.lost.record(paths as u64, &[]);
    }

    pub(crate) fn count_asked(&self, result: &'static str) {
        self.asked.add(1, &[KeyValue::new("result", result)]);
    }

    pub(crate) fn count_served(&self, result: &'static str) {
        self.served.add(1, &[KeyValue::new("result", result)]);
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build();
        let provider = match exporter {
            Ok(exporter) => SdkMeterProvider::builder().with_reader(exporter).build(),
            Err(error) => {
                log::error!(error:%; "metrics_not_exported");
                SdkMeterProvider::default()
            }
        };
        let meter = provider.meter("lapismoor");
        let seconds = |name, description| {
            let builder = meter.f64_histogram(name).with_unit("s");
            let builder = builder.with_boundaries(LATENCY_BOUNDS_S.to_vec());
            builder.with_description(description).build()
        };
        let counter = |name, description| {
            let builder = meter.u64_counter(name);
            builder.with_description(description).build()
        };
        let gauge = |name, description| {
            let builder = meter.u64_gauge(name);
            builder.with_description(description).build()
        };
        Self {
            request_duration: seconds(
                "lapismoor.request.duration",
                "Time from the receipt of a request to the end of its answer",
            ),
            request_wait: seconds(
                "lapismoor.request.wait",
                "Time a request is queued before it is sent",
            ),
            first_event: seconds(
                "lapismoor.stream.first_event",
                "Time from the receipt of a request to the first event of its stream",
            ),
            event_gap: seconds(
                "lapismoor.stream.pause",
                "Time between two events of a stream",
            ),
            load_age: seconds(
                "lapismoor.load.age",
                "Age of a target's load report when the target is chosen",
            ),
            requests_refused: counter("lapismoor.request.refused", "Requests refused, by reason"),
            requests_delayed: counter(
                "lapismoor.request.delayed",
                "Requests for which a service had no room at once, by decision and rank",
            ),
            requests_failed: counter("lapismoor.request.failed", "Requests failed, by cause"),
            attempts_failed: counter("lapismoor.attempt.failed", "Attempts failed, by cause"),
            requests_limited: counter(
                "lapismoor.request.limited",
                "Requests for which a target had no room within its limit, by what followed",
            ),
            permits: counter(
                "lapismoor.permit.asked",
                "Permits asked for to send a request to a target with a limit, by result",
            ),
            target_limit: meter
                .f64_gauge("lapismoor.target.limit")
                .with_description("Requests per second that a target took from all daemons together when it last had no room")
                .build(),
            target_share: meter
                .f64_gauge("lapismoor.target.share")
                .with_description("Requests per second that this daemon was permitted to a target when it last had no room")
                .build(),
            cold_targets: gauge("lapismoor.target.cold", "Targets that take fewer requests because they are cold"),
            paths: PathMetrics::new(&meter),
            target_pace: gauge("lapismoor.target.pace", "Time that work took at a target when it was last chosen, in percent of the usual"),
            connections_opened: counter(
                "lapismoor.target.connections",
                "Connections opened to targets",
            ),
            store_calls: counter(
                "lapismoor.store.calls",
                "Calls for store content, by source and outcome",
            ),
            store_restores: counter(
                "lapismoor.store.restores",
                "Times that the store was found to be restored from an older copy",
            ),
            evacuated_domains: gauge("lapismoor.domain.evacuated", "Failure domains that are evacuated, as far as this daemon knows"),
            retries_left: gauge("lapismoor.retry.left", "Retries left in the budget window after the last failed attempt"),
            buffered_bytes: gauge("lapismoor.buffer.bytes", "Bytes of requests and answers that are buffered, by kind"),
            connections: gauge("lapismoor.connection.open", "Open connections of callers"),
            connection_bytes: gauge("lapismoor.connection.bytes", "Bytes that connections of callers are taken to hold outside of the buffers of requests and answers"),
            connections_closed: counter(
                "lapismoor.connection.closed",
                "Connections of callers that were closed or refused, by reason",
            ),
            registry,
            _provider: provider,
        }
    }
}

impl Metrics {
    /// Records the duration of a served request.
    pub fn record_request_duration(&self, took: Duration) {
        self.request_duration.record(took.as_secs_f64(), &[]);
    }

    /// Records the time that a request was queued before it was sent.
    pub fn record_wait(&self, wait: Duration) {
        self.request_wait.record(wait.as_secs_f64(), &[]);
    }

    /// Records the time from a request to the first event of its stream.
    pub fn record_first_event(&self, time: Duration) {
        self.first_event.record(time.as_secs_f64(), &[]);
    }

    /// Records the time between two events of a stream.
    pub fn record_event_gap(&self, gap: Duration) {
        self.event_gap.record(gap.as_secs_f64(), &[]);
    }

    /// Records the age of a target's load report when the target is chosen.
    pub fn record_load_age(&self, age: Duration) {
        self.load_age.record(age.as_secs_f64(), &[]);
    }

    /// Counts a call to the store, to a daemon that mirrors it, or to one that collects
    /// observations.
    pub fn count_store_call(&self, source: &'static str, is_answered: bool) {
        let outcome = if is_answered { "answered" } else { "failed" };
        let labels = [
            KeyValue::new("source", source),
            KeyValue::new("outcome", outcome),
        ];
        self.store_calls.add(1, &labels);
    }

    /// Records the bytes that are buffered.
    pub fn record_buffered(&self, kind: &'static str, bytes: usize) {
        let kind = KeyValue::new("kind", kind);
        self.buffered_bytes.record(bytes as u64, &[kind]);
    }

    /// Records the open connections of callers, and the bytes that they are taken to hold.
    pub(crate) fn record_connections(&self, open: usize, bytes: usize) {
        self.connections.record(open as u64, &[]);
        self.connection_bytes.record(bytes as u64, &[]);
    }

    /// Counts connections of callers that were closed or refused.
    pub(crate) fn count_connections_closed(&self, reason: &'static str, count: u64) {
        self.connections_closed
            .add(count, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a refused request.
    pub fn count_refused(&self, reason: &'static str) {
        self.requests_refused
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a request for which its service had no room at once.
    pub fn count_delayed(&self, decision: &'static str, rank: u8) {
        let labels = [
            KeyValue::new("decision", decision),
            KeyValue::new("rank", i64::from(rank)),
        ];
        self.requests_delayed.add(1, &labels);
    }

    /// Counts a failed request.
    pub fn count_failed(&self, cause: &'static str) {
        self.requests_failed
            .add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a failed attempt.
    pub fn count_attempt_failed(&self, cause: &'static str) {
        self.attempts_failed
            .add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts an answer to a request for a permit.
    pub fn count_permit(&self, result: &'static str) {
        self.permits.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a request for which a target had no room within its limit of `limit_per_s`, of which
    /// this daemon was permitted `share_per_s` lately; both in requests per second.
    pub fn record_limited(
        &self,
        target: &TargetId,
        limit_per_s: f64,
        share_per_s: f64,
        next: &'static str,
    ) {
        self.requests_limited.add(1, &[KeyValue::new("next", next)]);
        let labels = [KeyValue::new("target", target.to_string())];
        self.target_limit.record(limit_per_s, &labels);
        self.target_share.record(share_per_s, &labels);
    }

    /// Records the pace of a target that is chosen, in percent of the usual.
    pub fn record_pace(&self, target: &TargetId, percent: PacePercent) {
        let labels = [KeyValue::new("target", target.to_string())];
        self.target_pace.record(percent.into(), &labels);
    }

    /// Records how many retries are left in a service's budget.
    pub fn record_retries_left(&self, service: &ServiceId, left: u64) {
        let labels = [KeyValue::new("service", service.to_string())];
        self.retries_left.record(left, &labels);
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// [`prometheus::Error`] if encoding fails.
    pub fn render(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
