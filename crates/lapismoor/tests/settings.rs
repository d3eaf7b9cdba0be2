//! Invalid settings are rejected with the path of the field, and `docs/SETTINGS.md` lists every
//! default.

use std::path::PathBuf;

use lapismoor::Settings;
use serde_json::{Value, json};
use test_case::test_case;

fn minimal_settings() -> Value {
    json!({
        "core": {
            "daemon": "entry-1",
            "failure_domain": "derby",
            "peer_address": "127.0.0.1:7001",
            "operator_address": "127.0.0.1:7002",
        },
        "caller_address": "127.0.0.1:7000",
        "platform": {
            "key_value_address": "127.0.0.1:2379",
        },
    })
}

fn write_settings(name: &str, text: &str) -> PathBuf {
    let name = format!("lapismoor-settings-{}-{name}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("temporary settings file should be writable");
    path
}

#[test]
fn minimal_settings_are_valid() {
    let path = write_settings("least", &minimal_settings().to_string());
    let settings = Settings::read(&path).expect("settings should be valid");
    assert_eq!(settings.limits.config_within_ms, 14_000);
    assert!(settings.into_edge_settings().limits.revoke_within.is_none());
}

#[test_case("unknown", |s| s["colour"] = 1.into(), "colour"; "unknown field")]
#[test_case("unit", |s| s["tuning"] = json!({"silence_ms": "1 s"}), "tuning.silence_ms"; "unit in a millisecond field")]
#[test_case("address", |s| s["caller_address"] = "here".into(), "caller_address"; "malformed address")]
#[test_case("former", |s| s["platform"]["vm_list_address"] = "127.0.0.1:1".into(), "platform.vm_list_address"; "field removed in an earlier version")]
#[test_case("zero", |s| s["tuning"] = json!({"connect_timeout_ms": 0}), "tuning.connect_timeout_ms"; "zero connect timeout")]
#[test_case("tight", |s| s["limits"] = json!({"stop_grace_ms": 2_000}), "limits.stop_grace_ms"; "stop grace below linger plus reserve")]
#[test_case("tickets", |s| s["once"] = json!({"max_tickets": 0}), "once.max_tickets"; "zero tickets")]
fn invalid_settings_are_rejected_with_the_field_path(
    name: &str,
    edit: fn(&mut Value),
    expected_field: &str,
) {
    let mut settings = minimal_settings();
    edit(&mut settings);
    let path = write_settings(name, &settings.to_string());
    let actual = Settings::read(&path)
        .expect_err("settings should be rejected")
        .to_string();
    assert!(actual.contains(expected_field), "{actual}");
}

#[test]
fn unreadable_file_is_reported_in_one_line() {
    let path = PathBuf::from("/nowhere/settings.json");
    let actual = Settings::read(&path)
        .expect_err("settings should be rejected")
        .to_string();
    assert!(actual.starts_with("cannot read /nowhere/settings.json"));
    assert_eq!(actual.lines().count(), 1);
}

/// Appends the name and the value of every field of `value`, including those of nested objects.
fn collect_fields(value: &Value, found: &mut Vec<(String, String)>) {
    let Value::Object(fields) = value else {
        return;
    };
    for (name, field) in fields {
        if field.is_object() {
            collect_fields(field, found);
        } else {
            let text = field
                .as_f64()
                .map_or_else(|| field.to_string(), |n| n.to_string());
            found.push((name.clone(), text));
        }
    }
}

#[test]
fn settings_reference_lists_every_field_with_its_default() {
    let path = write_settings("table", &minimal_settings().to_string());
    let settings = Settings::read(&path).expect("settings should be valid");
    let all = serde_json::to_value(&settings).expect("settings should serialize");
    let table = include_str!("../../../docs/SETTINGS.md");
    for section in ["caller", "once", "limits", "tuning"] {
        check_section(table, &format!("## {section}"), &all[section]);
    }
}

fn check_section(table: &str, title: &str, defaults: &Value) {
    let mut expected = Vec::new();
    collect_fields(defaults, &mut expected);
    assert!(!expected.is_empty(), "{title} has no fields");
    let section = table.split_once(title).map_or("", |(_, after)| after);
    let section = section.split("\n## ").next().unwrap_or_default();
    for (name, default) in expected {
        let row = section
            .lines()
            .find(|line| line.starts_with(&format!("| `{name}` |")));
        let row = row.unwrap_or_else(|| panic!("{title} has no row for {name}"));
        let documented = row
            .split('|')
            .nth(2)
            .map(str::trim)
            .and_then(|text| text.parse::<f64>().ok());
        assert_eq!(documented, default.parse::<f64>().ok(), "{title} {name}");
    }
}
