//! Which host the value of a `Host` field names.

use lapismoor_core::routing::parse_host;
use test_case::test_case;

/// Guards against values that name another host to the daemon than to callers, gateways and targets.
#[test_case("map.example", Some("map.example"); "name")]
#[test_case("MAP.Example", Some("map.example"); "capitals")]
#[test_case("map.example:8080", Some("map.example"); "port")]
#[test_case("map.example:", Some("map.example"); "empty port")]
#[test_case("map.example.", Some("map.example."); "trailing dot")]
#[test_case("10.0.0.1:80", Some("10.0.0.1"); "address")]
#[test_case("[2001:DB8::1]:80", Some("[2001:db8::1]"); "address of version 6")]
#[test_case("", Some(""); "empty")]
#[test_case(":80", Some(""); "port only")]
#[test_case("map.example:80a", None; "no port")]
#[test_case("map.example:80:90", None; "two ports")]
#[test_case("map.example, portal.example", None; "list with a space")]
#[test_case("map.example,portal.example", None; "list")]
#[test_case("map.example portal.example", None; "two names")]
#[test_case("user@map.example", None; "user")]
#[test_case("map.example/path", None; "path")]
#[test_case("map.example?query", None; "query")]
#[test_case("map.example#part", None; "fragment")]
#[test_case("http://map.example", None; "url")]
#[test_case("[::1", None; "open bracket")]
#[test_case("[::1]x", None; "text after a bracket")]
#[test_case("[]", None; "empty brackets")]
fn host_is_parsed(value: &str, expected: Option<&str>) {
    let actual = parse_host(value);
    assert_eq!(actual.as_deref(), expected);
}
