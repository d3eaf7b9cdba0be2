//! Reads the host of a request, which selects its route together with the path.

use compact_str::CompactString;

/// Bytes besides letters and digits that names of hosts may have.
const NAME_PUNCTUATION: &[u8] = b"-._~%!$&'()*+;=";

/// Parses the value of a `Host` field, `name[:port]`. Names are compared without regard to case, so the
/// name is returned in lower case. It may be empty. `None` if the value is malformed.
#[must_use]
pub fn parse_host(value: &str) -> Option<CompactString> {
    let name_end = if value.starts_with('[') {
        value.find(']')? + 1
    } else {
        value.find(':').unwrap_or(value.len())
    };
    let (name, port) = value.split_at(name_end);
    let digits = port.strip_prefix(':').unwrap_or(port);
    let is_port = port.is_empty() || port.starts_with(':');
    if !is_port || !digits.bytes().all(|byte| byte.is_ascii_digit()) || !is_name(name) {
        return None;
    }
    Some(name.to_ascii_lowercase().into())
}

fn is_name(name: &str) -> bool {
    let literal = name
        .strip_prefix('[')
        .and_then(|name| name.strip_suffix(']'));
    if let Some(address) = literal {
        let is_part = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b':' | b'.');
        return !address.is_empty() && address.bytes().all(is_part);
    }
    let is_part = |byte: u8| byte.is_ascii_alphanumeric() || NAME_PUNCTUATION.contains(&byte);
    name.bytes().all(is_part)
}
