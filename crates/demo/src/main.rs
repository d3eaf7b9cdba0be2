//! Live demo: a fleet and its stand-ins as processes, under load and faults.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use demo::fleet::Fleet;
use demo::fleet_size::FleetSize;
use demo::load::LoadPlan;
use demo::process::ROLE_ARGUMENT;
use demo::{role, scenario, slopes};
use lapismoor_core::config::Config;

/// Midshire's example configuration.
const CONFIG: &str = include_str!("../../../examples/midshire.json");

/// Start a fleet of 6 daemons, 10 engines and 3 service targets, load it, break it, judge it
///
/// Exit code 0 only if the stand-ins' own records show no broken promise.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Leave the fleet running and print a line to try it with
    keep: bool,
    /// Show no faults
    calm: bool,
    /// Chats
    #[bpaf(argument("N"), fallback(360))]
    chats: usize,
    /// Seed of the load
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
    /// Measure what a daemon costs as the fleet grows, instead of the demo
    #[bpaf(command)]
    Slopes {
        /// Numbers of daemons, with commas
        #[bpaf(argument("N,N"), fallback("6,12,25,50".to_owned()))]
        daemons: String,
    },
}

fn main() -> ExitCode {
    if let Some(role) = own_role() {
        return role::run(role);
    }
    let arguments = arguments().run();
    match actix::System::new().block_on(run(arguments)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("the demo could not run: {error}; look into its logs");
            ExitCode::from(2)
        }
    }
}

fn own_role() -> Option<role::Role> {
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
        slopes::run(&directory, &daemons, &config).await?;
        return Ok(true);
    }
    println!(
        "starting {} daemons, {} engines",
        size.daemons, size.engines
    );
    let program = std::env::current_exe()?;
    let mut fleet = Fleet::start(&program, &directory, &size, &config).await?;
    println!("ready");
    let plan = plan(&arguments, &config, &size);
    let outcome = scenario::run(&mut fleet, &size, &config, &plan, !arguments.calm).await?;
    println!();
    for (name, value) in &outcome.table {
        println!("{name:42} {value}");
    }
    for broken in &outcome.broken {
        println!("BROKEN PROMISE: {broken}");
    }
    if arguments.keep {
        keep(&mut fleet);
    }
    let is_kept = outcome.broken.is_empty();
    println!(
        "{}",
        if is_kept {
            "no promise was broken"
        } else {
            "promises were broken"
        }
    );
    Ok(is_kept)
}

fn plan(arguments: &Arguments, config: &Config, size: &FleetSize) -> LoadPlan {
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

fn keep(fleet: &mut Fleet) {
    fleet.leave_running();
    let daemon = fleet
        .daemons
        .iter()
        .rev()
        .find(|daemon| daemon.name != "entry-1");
    let Some(daemon) = daemon else {
        return;
    };
    println!("the fleet goes on; try:");
    println!(
        "curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer north-mobile-key' \
         -H 'X-Profile: shop-counter' -H 'X-Chat-Id: mine' -H 'Content-Type: application/json' \
         -d '{{\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"marker:hello\"}}]}}'",
        daemon.caller_address
    );
}
