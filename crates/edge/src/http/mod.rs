//! HTTP client for targets, built on the codec of `actix-http`. `awc` hides what the outcome of a
//! request depends on: whether the request was sent, whether the answer was cut off, and which
//! other bytes arrived on the connection.

mod answer;
mod connection;
mod connection_pool;
mod error;
mod transport;

pub use answer::{AnswerBody, AnswerHead};
pub use connection::Connection;
pub(crate) use connection::configure_socket;
pub use connection_pool::ConnectionPool;
pub use error::ExchangeError;
