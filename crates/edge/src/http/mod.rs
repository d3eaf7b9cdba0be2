//! HTTP towards targets, over the codec of `actix-http`. `awc` hides what outcomes depend on:
//! whether a request left, whether an answer was cut, and what else came on the connection.

mod answer;
mod connection;
mod connections;
mod error;

pub use answer::{AnswerBody, AnswerHead};
pub use connection::Connection;
pub use connections::Connections;
pub use error::ExchangeError;
