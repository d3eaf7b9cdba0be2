//! Measures the time to the first token, and the tokens per second of daemon CPU time, without a
//! daemon and through one and two daemons. The times are compared within one run.
//!
//! A request passes two daemons if its ticket is owned by another daemon than the one that it is
//! sent to.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use demo::fleet::Fleet;
use demo::fleet_size::FleetSize;
use demo::resource_usage::ResourceUsage;
use demo::role;
use futures::StreamExt;
use lapismoor_core::config::Config;
use serde_json::{Value, json};

const CONFIG: &str = include_str!("../../../examples/midshire.json");
/// Sequential requests, for the time to the first token.
const SEQUENTIAL_REQUESTS: usize = 120;
/// Concurrent requests, for the tokens per second.
const CONCURRENT_REQUESTS: usize = 12;
/// Rounds of concurrent requests.
const ROUNDS: usize = 12;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
/// Path from the caller to the engine.
enum RequestPath {
    Engine,
    OneDaemon,
    TwoDaemons,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    if arguments.next().as_deref() == Some(demo::process::ROLE_ARGUMENT) {
        let role = arguments
            .next()
            .and_then(|text| serde_json::from_str(&text).ok());
        if let Some(role) = role {
            let _ = role::run(role);
        }
        return;
    }
    actix::System::new().block_on(measure());
}

async fn measure() {
    let directory = std::env::temp_dir().join(format!("lapismoor-bench-{}", std::process::id()));
    let size = FleetSize {
        daemons: 2,
        engines: 1,
        services: 1,
        tokens: 200,
        token_ms: 2,
        prefill_ms: 0,
        ..FleetSize::midshire()
    };
    let config = Config::parse(CONFIG.as_bytes()).expect("the example configuration is valid");
    let program: PathBuf = std::env::current_exe().expect("the path of this program");
    let fleet = start_fleet(&program, &directory, &size, &config).await;
    let mut baseline = None;
    println!(
        "{:12} {:>16} {:>8} {:>26}",
        "PATH", "FIRST TOKEN p50", "RATIO", "TOKENS / DAEMON CPU SECOND"
    );
    for path in [
        RequestPath::Engine,
        RequestPath::OneDaemon,
        RequestPath::TwoDaemons,
    ] {
        let first_token = median_first_token_time(&fleet, path).await;
        let baseline = *baseline.get_or_insert(first_token);
        let rate = tokens_per_cpu_second(&fleet, path, size.tokens).await;
        println!(
            "{:12} {:>13.2} ms {:>7.2}x {:>26}",
            format!("{path:?}"),
            first_token.as_secs_f64() * 1e3,
            first_token.as_secs_f64() / baseline.as_secs_f64(),
            rate.map_or_else(|| "-".to_owned(), |rate| format!("{rate:.0}")),
        );
    }
}

async fn start_fleet(program: &Path, directory: &Path, size: &FleetSize, config: &Config) -> Fleet {
    let fleet = Fleet::start(program, directory, size, config).await;
    fleet.expect("the fleet starts")
}

fn client() -> awc::Client {
    awc::Client::builder()
        .timeout(Duration::from_mins(1))
        .finish()
}

async fn request_ticket(fleet: &Fleet) -> String {
    let address = fleet.daemons[1].caller_address;
    let request = client()
        .post(format!("http://{address}/v1/tickets"))
        .insert_header(("authorization", "Bearer north-mobile-key"));
    let mut response = request.send().await.expect("a ticket");
    let body: Value = response.json().await.expect("JSON");
    body["ticket"].as_str().expect("a ticket").to_owned()
}

/// Sends a chat and reads the complete response; returns the time to its first bytes.
async fn send(fleet: &Fleet, client: &awc::Client, path: RequestPath, number: usize) -> Duration {
    let address: SocketAddr = match path {
        RequestPath::Engine => fleet.engines[0].address,
        RequestPath::OneDaemon | RequestPath::TwoDaemons => fleet.daemons[0].caller_address,
    };
    let mut request = client
        .post(format!("http://{address}/v1/chat/completions"))
        .insert_header(("authorization", "Bearer north-mobile-key"))
        .insert_header(("x-request-id", format!("{path:?}-{number}")));
    if path == RequestPath::TwoDaemons {
        request = request.insert_header(("x-ticket", request_ticket(fleet).await));
    }
    let body = json!({
        "stream": true,
        "messages": [{"role": "user", "content": format!("marker:{path:?}-{number} x")}],
    });
    let start = Instant::now();
    let mut response = request.send_json(&body).await.expect("a response");
    let mut first_byte = None;
    while let Some(chunk) = response.next().await {
        chunk.expect("a complete response");
        first_byte.get_or_insert_with(|| start.elapsed());
    }
    first_byte.expect("a response with a body")
}

async fn median_first_token_time(fleet: &Fleet, path: RequestPath) -> Duration {
    let client = client();
    let mut times = Vec::with_capacity(SEQUENTIAL_REQUESTS);
    for number in 0..SEQUENTIAL_REQUESTS {
        times.push(send(fleet, &client, path, number).await);
    }
    times.sort();
    times[SEQUENTIAL_REQUESTS / 2]
}

fn cpu_ms(fleet: &Fleet) -> u64 {
    let ids = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.process.id().to_string());
    ids.map(|id| ResourceUsage::of(&id).expect("the daemon runs").cpu_ms)
        .sum()
}

async fn tokens_per_cpu_second(fleet: &Fleet, path: RequestPath, tokens: usize) -> Option<f64> {
    let client = client();
    let before = cpu_ms(fleet);
    for round in 0..ROUNDS {
        let numbers =
            (0..CONCURRENT_REQUESTS).map(|index| 1_000 + round * CONCURRENT_REQUESTS + index);
        let requests = numbers.map(|number| send(fleet, &client, path, number));
        futures::future::join_all(requests).await;
    }
    let used_ms = cpu_ms(fleet).saturating_sub(before);
    let total = u32::try_from(tokens * CONCURRENT_REQUESTS * ROUNDS).unwrap_or(u32::MAX);
    let used_ms = u32::try_from(used_ms).unwrap_or(u32::MAX);
    (path != RequestPath::Engine).then(|| f64::from(total) * 1_000.0 / f64::from(used_ms.max(1)))
}
