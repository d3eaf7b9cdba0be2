//! Settings are refused with the field and the remedy.

use std::path::PathBuf;

use lapismoor::Settings;
use serde_json::{Value, json};
use test_case::test_case;

fn valid() -> Value {
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

fn file(name: &str, text: &str) -> PathBuf {
    let name = format!("lapismoor-settings-{}-{name}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

#[test]
fn the_least_settings_are_enough() {
    let path = file("least", &valid().to_string());
    let settings = Settings::read(&path).expect("valid settings");
    assert_eq!(settings.limits.config_within_ms, 14_000);
    assert!(settings.into_edge_settings().limits.revoke_within.is_none());
}

#[test_case("unknown", |s| s["colour"] = 1.into(), "colour"; "an unknown field")]
#[test_case("unit", |s| s["tuning"] = json!({"silence_ms": "1 s"}), "tuning.silence_ms"; "a wrong unit")]
#[test_case("address", |s| s["caller_address"] = "here".into(), "caller_address"; "no address")]
#[test_case("former", |s| s["platform"]["vm_list_address"] = "127.0.0.1:1".into(), "platform.vm_list_address"; "a field of earlier versions")]
#[test_case("zero", |s| s["tuning"] = json!({"connect_timeout_ms": 0}), "tuning.connect_timeout_ms"; "no time to connect")]
#[test_case("tight", |s| s["limits"] = json!({"stop_grace_ms": 2_000}), "limits.stop_grace_ms"; "a stop too short")]
#[test_case("tickets", |s| s["once"] = json!({"max_tickets": 0}), "once.max_tickets"; "no tickets")]
fn wrong_settings_are_refused_with_the_fields_path(
    name: &str,
    edit: fn(&mut Value),
    expected_path: &str,
) {
    let mut settings = valid();
    edit(&mut settings);
    let path = file(name, &settings.to_string());
    let actual = Settings::read(&path).expect_err("a refusal").to_string();
    assert!(actual.contains(expected_path), "{actual}");
}

#[test]
fn an_unreadable_file_says_so_in_one_line() {
    let path = PathBuf::from("/nowhere/settings.json");
    let actual = Settings::read(&path).expect_err("a refusal").to_string();
    assert!(actual.starts_with("cannot read /nowhere/settings.json"));
    assert_eq!(actual.lines().count(), 1);
}

/// Names and defaults of all options below a path.
fn options(value: &Value, into: &mut Vec<(String, String)>) {
    let Value::Object(fields) = value else {
        return;
    };
    for (name, field) in fields {
        if field.is_object() {
            options(field, into);
        } else {
            let text = field
                .as_f64()
                .map_or_else(|| field.to_string(), |n| n.to_string());
            into.push((name.clone(), text));
        }
    }
}

#[test]
fn every_option_stands_in_the_table_with_its_default() {
    let path = file("table", &valid().to_string());
    let settings = Settings::read(&path).expect("valid settings");
    let all = serde_json::to_value(&settings).expect("JSON");
    let table = include_str!("../../../docs/SETTINGS.md");
    for part in ["caller", "once", "limits", "tuning"] {
        check_section(table, &format!("## {part}"), &all[part]);
    }
}

fn check_section(table: &str, title: &str, defaults: &Value) {
    let mut expected = Vec::new();
    options(defaults, &mut expected);
    assert!(!expected.is_empty(), "{title} has options");
    let section = table.split_once(title).map_or("", |(_, after)| after);
    let section = section.split("\n## ").next().unwrap_or_default();
    for (name, default) in expected {
        let row = section
            .lines()
            .find(|line| line.starts_with(&format!("| `{name}` |")));
        let row = row.unwrap_or_else(|| panic!("{title} lacks {name}"));
        let shown = row
            .split('|')
            .nth(2)
            .map(str::trim)
            .and_then(|text| text.parse::<f64>().ok());
        assert_eq!(shown, default.parse::<f64>().ok(), "{title} {name}");
    }
}
