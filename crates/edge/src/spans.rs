//! OpenTelemetry spans of requests and attempts, written to a file as JSON lines.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use compact_str::{CompactString, format_compact};
use opentelemetry::trace::{
    Span, SpanContext, SpanId, SpanKind, TraceContextExt, TraceFlags, TraceId, TraceState, Tracer,
    TracerProvider,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::error::{OTelSdkError, OTelSdkResult};
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider, SpanData, SpanExporter};
use serde_json::json;

/// Starts the spans of a daemon. A background thread writes them. Spans are dropped while its queue
/// is full.
#[derive(Debug)]
pub struct Spans {
    tracer: SdkTracer,
    daemon: String,
    /// Keeps the exporter alive.
    _provider: SdkTracerProvider,
}

/// A span in progress; it ends when dropped.
#[derive(Debug)]
pub struct ActiveSpan {
    span: opentelemetry_sdk::trace::Span,
}

impl Spans {
    /// Appends the spans of `daemon` to a file.
    ///
    /// # Errors
    /// If the file cannot be opened.
    pub fn to_file(path: &Path, daemon: &str) -> io::Result<Self> {
        let file = File::options().create(true).append(true).open(path)?;
        let exporter = FileExporter {
            file: Arc::new(Mutex::new(file)),
        };
        let provider = SdkTracerProvider::builder()
            .with_batch_exporter(exporter)
            .build();
        Ok(Self {
            tracer: provider.tracer("lapismoor"),
            daemon: daemon.to_owned(),
            _provider: provider,
        })
    }

    /// Starts the root span of a new trace.
    #[must_use]
    pub fn start_root(&self, name: &'static str, kind: SpanKind) -> ActiveSpan {
        self.start_child(name, kind, "")
    }

    /// Starts a child of the span that `traceparent` names, or a root span if it is not valid.
    #[must_use]
    pub fn start_child(&self, name: &'static str, kind: SpanKind, traceparent: &str) -> ActiveSpan {
        let parent = parse(traceparent).map_or_else(Context::new, |parent| {
            Context::new().with_remote_span_context(parent)
        });
        let builder = self.tracer.span_builder(name).with_kind(kind);
        let mut span = self.tracer.build_with_context(builder, &parent);
        span.set_attribute(KeyValue::new("daemon", self.daemon.clone()));
        ActiveSpan { span }
    }
}

impl ActiveSpan {
    /// Value of the `traceparent` header for the next hop.
    #[must_use]
    pub fn traceparent(&self) -> CompactString {
        let context = self.span.span_context();
        format_compact!("00-{}-{}-01", context.trace_id(), context.span_id())
    }

    /// Adds an attribute to the span.
    pub fn set_attribute(&mut self, name: &'static str, value: String) {
        self.span.set_attribute(KeyValue::new(name, value));
    }
}

fn parse(traceparent: &str) -> Option<SpanContext> {
    let mut parts = traceparent.split('-').skip(1);
    let trace_id = TraceId::from_hex(parts.next()?).ok()?;
    let span_id = SpanId::from_hex(parts.next()?).ok()?;
    let context = SpanContext::new(
        trace_id,
        span_id,
        TraceFlags::SAMPLED,
        true,
        TraceState::default(),
    );
    context.is_valid().then_some(context)
}

#[derive(Debug)]
struct FileExporter {
    file: Arc<Mutex<File>>,
}

impl SpanExporter for FileExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        for span in batch {
            writeln!(file, "{}", line(&span))
                .map_err(|error| OTelSdkError::InternalFailure(error.to_string()))?;
        }
        Ok(())
    }
}

fn line(span: &SpanData) -> serde_json::Value {
    let attributes = span.attributes.iter();
    let attributes = attributes.map(|pair| (pair.key.to_string(), pair.value.to_string().into()));
    let attributes: serde_json::Map<String, serde_json::Value> = attributes.collect();
    json!({
        "name": span.name,
        "trace_id": span.span_context.trace_id().to_string(),
        "span_id": span.span_context.span_id().to_string(),
        "parent_span_id": span.parent_span_id.to_string(),
        "start_us": micros(span.start_time),
        "end_us": micros(span.end_time),
        "attributes": attributes,
    })
}

fn micros(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
