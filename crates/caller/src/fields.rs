//! Reads header fields that decide about a request.

use std::fmt;

use actix_web::http::header::{HeaderMap, HeaderName};

/// Why a header field has no single value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldError {
    /// The value has other bytes than visible ASCII, spaces and tabs.
    NotText,
    /// The field is there more than once.
    Repeated,
}

impl FieldError {
    /// What is wrong with the field.
    #[must_use]
    pub fn problem(self) -> &'static str {
        match self {
            Self::NotText => "not text",
            Self::Repeated => "given more than once",
        }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.problem())
    }
}

/// Returns the value of a field that a request has once at most; `None` if it is absent. The next hop
/// might read another one of several values, or a value that is not text.
///
/// # Errors
/// [`FieldError`] if the value is not text, or one of several.
pub fn single_value(
    headers: &HeaderMap,
    name: impl Into<HeaderName>,
) -> Result<Option<&str>, FieldError> {
    let mut values = headers.get_all(name.into());
    let value = values.next();
    if values.next().is_some() {
        return Err(FieldError::Repeated);
    }
    let text = value.map(|value| value.to_str()).transpose();
    text.map_err(|_| FieldError::NotText)
}
