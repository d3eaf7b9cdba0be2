//! Why an exchange with a target brought no whole answer.

use std::io;

use snafu::Snafu;

/// Why an exchange with a target brought no whole answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ExchangeError {
    /// No connection came about; nothing was sent.
    #[snafu(display("cannot connect: {source}; check that the target runs"))]
    Connect {
        /// Why.
        source: io::Error,
    },
    /// No connection came about in time; nothing was sent.
    #[snafu(display("no connection in time; check that the target runs"))]
    ConnectTimeout,
    /// The request cannot be written down.
    #[snafu(display("cannot encode the request: {source}; check its headers"))]
    Encode {
        /// Why.
        source: io::Error,
    },
    /// The connection broke.
    #[snafu(display("the connection broke: {source}; check the target's log"))]
    Broken {
        /// Why.
        source: io::Error,
    },
    /// The connection was closed before the answer was whole.
    #[snafu(display("the answer was cut off; check the target's log"))]
    CutOff,
    /// The bytes are no answer.
    #[snafu(display("the answer cannot be read: {reason}; check the target"))]
    Malformed {
        /// What is wrong.
        reason: String,
    },
    /// Too many answers to other requests came first.
    #[snafu(display("the answers belong to other requests; check the target"))]
    Foreign,
}

impl ExchangeError {
    /// Whether nothing of the request was sent.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. } | Self::ConnectTimeout | Self::Encode { .. }
        )
    }

    /// Whether nothing listens at the target any more.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source } if source.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// A short name for logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Connect { .. } => "connect_failed",
            Self::ConnectTimeout => "connect_timeout",
            Self::Encode { .. } => "not_encoded",
            Self::Broken { .. } => "connection_broken",
            Self::CutOff => "answer_cut_off",
            Self::Malformed { .. } => "answer_malformed",
            Self::Foreign => "answer_foreign",
        }
    }
}
