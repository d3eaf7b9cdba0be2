//! Errors of exchanges with targets.

use std::io;

use lapismoor_mirror::RelayLost;
use snafu::Snafu;

/// Why an exchange with a target gave no complete answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ExchangeError {
    /// The connection could not be opened; nothing was sent.
    #[snafu(display("cannot connect: {source}; check that the target is running"))]
    Connect {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The connection could not be opened in time; nothing was sent.
    #[snafu(display("connecting timed out; check that the target is running"))]
    ConnectTimeout,
    /// The request cannot be encoded; nothing was sent.
    #[snafu(display("cannot encode the request: {source}; check its headers"))]
    Encode {
        /// Error of the HTTP codec.
        source: io::Error,
    },
    /// The connection failed while the request or the answer was transferred.
    #[snafu(display("the connection failed: {source}; check the target's log"))]
    Broken {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The connection was closed before the end of the answer.
    #[snafu(display("the answer was cut off; check the target's log"))]
    CutOff,
    /// The deadline passed before the end of the answer.
    #[snafu(display("the answer was not complete in time; check the target's load"))]
    DeadlinePassed,
    /// The answer is not valid HTTP, or is too long.
    #[snafu(display("the answer is malformed: {reason}; check the target"))]
    Malformed {
        /// Description of the problem.
        reason: String,
    },
    /// The memory for answers is used up.
    #[snafu(display("the memory for answers is used up; check the sizes of answers"))]
    OutOfMemory,
    /// Too many answers to other requests arrived first.
    #[snafu(display("the target answered other requests; check the target"))]
    WrongRequest,
}

impl ExchangeError {
    /// Whether no part of the request was sent.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. } | Self::ConnectTimeout | Self::Encode { .. }
        )
    }

    /// Whether the target ended the exchange, and not the daemon or one on the way.
    #[must_use]
    pub fn is_connection_lost(&self) -> bool {
        matches!(self, Self::Broken { .. } | Self::CutOff) && !self.is_relay_lost()
    }

    /// Whether the daemon that forwarded the connection was lost.
    #[must_use]
    pub fn is_relay_lost(&self) -> bool {
        let Self::Broken { source } = self else {
            return false;
        };
        matches!(source.get_ref(), Some(cause) if cause.is::<RelayLost>())
    }

    /// Whether the connection did not open in time.
    #[must_use]
    pub fn is_connect_timeout(&self) -> bool {
        matches!(self, Self::ConnectTimeout)
    }

    /// Whether the connection was refused: nothing listens on the target's port.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source } if source.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Name of the error in logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Connect { .. } => "connect_failed",
            Self::ConnectTimeout => "connect_timeout",
            Self::Encode { .. } => "not_encoded",
            Self::Broken { .. } if self.is_relay_lost() => "relay_lost",
            Self::Broken { .. } => "connection_broken",
            Self::CutOff => "answer_cut_off",
            Self::DeadlinePassed => "time_up",
            Self::Malformed { .. } => "answer_malformed",
            Self::OutOfMemory => "memory_exhausted",
            Self::WrongRequest => "answer_foreign",
        }
    }
}
