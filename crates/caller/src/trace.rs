//! W3C Trace Context of a request.

use actix_web::HttpRequest;
use compact_str::{CompactString, format_compact};

/// Trace and span ids of a request at this hop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceContext {
    /// 32 hex digits; also the request id in logs and errors.
    pub trace_id: CompactString,
    /// Span id of the caller, 16 hex digits; empty if it sent no valid `traceparent`.
    pub parent_span_id: CompactString,
    /// Span of this hop, 16 hex digits.
    pub span_id: CompactString,
}

impl TraceContext {
    /// Continues the trace of the request's `traceparent` header, or starts a new one if the header
    /// is missing or malformed.
    #[must_use]
    pub fn from_request(request: &HttpRequest) -> Self {
        let header = request.headers().get("traceparent");
        let header = header.and_then(|value| value.to_str().ok());
        header.and_then(Self::parse).unwrap_or_else(Self::new_root)
    }

    /// Continues the trace of a `traceparent` value; `None` if the value is malformed.
    #[must_use]
    pub fn parse(traceparent: &str) -> Option<Self> {
        let mut parts = traceparent.split('-');
        let (version, trace_id, parent) = (parts.next()?, parts.next()?, parts.next()?);
        let is_hex = |text: &str| text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let fits = version.len() == 2 && trace_id.len() == 32 && parent.len() == 16;
        let is_zero = trace_id.bytes().all(|byte| byte == b'0');
        if !fits || is_zero || !is_hex(trace_id) || !is_hex(parent) {
            return None;
        }
        Some(Self {
            trace_id: trace_id.to_ascii_lowercase().into(),
            parent_span_id: parent.to_ascii_lowercase().into(),
            span_id: new_span_id(),
        })
    }

    fn new_root() -> Self {
        Self {
            trace_id: format_compact!("{:032x}", rand::random::<u128>() | 1),
            parent_span_id: CompactString::default(),
            span_id: new_span_id(),
        }
    }

    /// Returns the `traceparent` header for the next hop.
    #[must_use]
    pub fn header(&self) -> CompactString {
        format_compact!("00-{}-{}-01", self.trace_id, self.span_id)
    }
}

fn new_span_id() -> CompactString {
    format_compact!("{:016x}", rand::random::<u64>() | 1)
}
