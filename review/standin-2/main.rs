//! Stand-ins and scenarios of the review's scripts.

mod chaos;
mod chat_memory;
mod client;
mod config;
mod engine;
mod http;
mod json;
mod lost_owner;
mod process;
mod record;
mod store;

use std::path::PathBuf;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let scenario = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match scenario.as_str() {
        "chaos" => {
            let seed = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(1);
            chaos::run(&folder, seed, trouble)
        }
        "chat-memory" => {
            let scratch = scratch();
            let code = chat_memory::run(&folder, &scratch, trouble);
            let _ = std::fs::remove_dir_all(&scratch);
            code
        }
        "lost-owner" => {
            let scratch = scratch();
            let part = std::env::var("TROUBLE").unwrap_or_default();
            let disruptions = lost_owner::Trouble {
                has_kill: trouble && part != "drill",
                has_drill: trouble && part != "kill",
            };
            let code = lost_owner::run(&folder, &scratch, disruptions);
            let _ = std::fs::remove_dir_all(&scratch);
            code
        }
        _ => 2,
    };
    std::process::exit(code);
}

/// A new temporary folder.
fn scratch() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("lapismoor-review-{}", std::process::id()));
    let _ = std::fs::create_dir_all(&folder);
    folder
}
