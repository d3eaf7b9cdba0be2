//! Live demo: runs a fleet and its stand-ins as processes, under load and faults.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use demo::fleet::Fleet;
use demo::fleet_size::FleetSize;
use demo::load::LoadPlan;
use demo::process::ROLE_ARGUMENT;
use demo::{role, scaling, scenario};
use lapismoor_core::config::Config;

const CONFIG: &str = include_str!("../../../examples/midshire.json");

/// Run 6 daemons, 10 engines and 3 service targets under load and faults and check the results
///
/// Exits with code 0 only if the records of the stand-ins show no violated guarantee.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Keep the fleet running and print a command that sends it a request
    keep: bool,
    /// Inject no faults
    calm: bool,
    /// Number of chats
    #[bpaf(argument("N"), fallback(360))]
    chats: usize,
    /// Seed of the random start times and pauses
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Directory for settings, logs and records
    #[bpaf(argument("DIR"))]
    directory: Option<PathBuf>,
    #[bpaf(external, optional)]
    command: Option<Command>,
}

#[derive(Debug, Clone, Bpaf)]
enum Command {
    /// Measure the resource usage of a daemon by fleet size, instead of running the demo
    #[bpaf(command)]
    Slopes {
        /// Numbers of daemons, separated by commas
        #[bpaf(argument("N,N"), fallback("6,12,25,50".to_owned()))]
        daemons: String,
    },
}

fn main() -> ExitCode {
    if let Some(role) = role_argument() {
        return role::run(role);
    }
    let arguments = arguments().run();
    match actix::System::new().block_on(run(arguments)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("the demo failed to run: {error}; check the logs in its directory");
            ExitCode::from(2)
        }
    }
}

fn role_argument() -> Option<role::Role> {
    let mut arguments = std::env::args().skip(1);
    if arguments.next()? != ROLE_ARGUMENT {
        return None;
    }
    serde_json::from_str(&arguments.next()?).ok()
}

async fn run(arguments: Arguments) -> std::io::Result<bool> {
    let config = Config::parse(CONFIG.as_bytes()).map_err(std::io::Error::other)?;
    let size = FleetSize::midshire();
    let directory = arguments.directory.clone().unwrap_or_else(|| {
        std::env::temp_dir().join(format!("lapismoor-demo-{}", std::process::id()))
    });
    println!("settings, logs and records: {}", directory.display());
    if let Some(Command::Slopes { daemons }) = &arguments.command {
        let daemons: Result<_, std::num::ParseIntError> =
            daemons.split(',').map(str::parse).collect();
        let daemons: Vec<usize> = daemons.map_err(std::io::Error::other)?;
        scaling::run(&directory, &daemons, &config).await?;
        return Ok(true);
    }
    println!(
        "starting {} daemons, {} engines",
        size.daemons, size.engines
    );
    let program = std::env::current_exe()?;
    let mut fleet = Fleet::start(&program, &directory, &size, &config).await?;
    println!("ready");
    let plan = load_plan(&arguments, &config, &size);
    let outcome = scenario::run(&mut fleet, &size, &config, &plan, !arguments.calm).await?;
    println!();
    for (name, value) in &outcome.table {
        println!("{name:42} {value}");
    }
    for violation in &outcome.violations {
        println!("VIOLATION: {violation}");
    }
    if arguments.keep {
        keep_running(&mut fleet);
    }
    let has_passed = outcome.violations.is_empty();
    println!(
        "{}",
        if has_passed {
            "no guarantee was violated"
        } else {
            "guarantees were violated"
        }
    );
    Ok(has_passed)
}

fn load_plan(arguments: &Arguments, config: &Config, size: &FleetSize) -> LoadPlan {
    LoadPlan {
        chats: arguments.chats,
        turns: 4,
        ramp_up: Duration::from_secs(22),
        max_think_time: Duration::from_secs(3),
        billed_calls: arguments.chats / 2,
        seed: arguments.seed,
        ..LoadPlan::new(config, size)
    }
}

/// Detaches the processes of the fleet and prints a command that sends a request to a daemon that
/// the faults do not stop.
fn keep_running(fleet: &mut Fleet) {
    fleet.leave_running();
    let daemon = fleet
        .daemons
        .iter()
        .rev()
        .find(|daemon| daemon.name != "entry-1");
    let Some(daemon) = daemon else {
        return;
    };
    println!("the fleet keeps running; to send a request:");
    println!(
        "curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer north-mobile-key' \
         -H 'X-Profile: shop-counter' -H 'X-Chat-Id: mine' -H 'Content-Type: application/json' \
         -d '{{\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"marker:hello\"}}]}}'",
        daemon.caller_address
    );
}
