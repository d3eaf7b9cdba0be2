//! Runs the soak by hand.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use demo::process::ROLE_ARGUMENT;
use demo::role::{self, Role};
use soak::compare::{self, Summary};
use soak::deployment::Deployment;
use soak::processes::{self, Size};
use soak::slopes;

/// Prove and measure beyond tests
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Arguments {
    /// Run the real programs as processes under the faults of seeds, and judge them
    #[bpaf(command)]
    Processes {
        /// Seeds, as FIRST..LAST, the last one left out
        #[bpaf(argument::<String>("A..B"), parse(|text| seeds(&text)))]
        seeds: (u64, u64),
        /// Daemons
        #[bpaf(argument("N"), fallback(4))]
        daemons: usize,
        /// Engines
        #[bpaf(argument("N"), fallback(5))]
        engines: usize,
        /// Directory for logs and records; those of failing seeds are kept
        #[bpaf(argument("DIR"))]
        directory: Option<PathBuf>,
    },
    /// Compare ways of placing requests on the same traffic
    #[bpaf(command)]
    Compare {
        /// midshire or kerbrat
        #[bpaf(argument("NAME"))]
        deployment: String,
        /// Seed of traffic and churn
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
    },
    /// Measure what the decisions cost as tables grow
    #[bpaf(command)]
    Slopes,
}

fn main() -> ExitCode {
    if let Some(role) = own_role() {
        return role::run(role);
    }
    match arguments().run() {
        Arguments::Processes {
            seeds,
            daemons,
            engines,
            directory,
        } => {
            let size = Size {
                daemons,
                engines,
                services: 2,
            };
            run_seeds(seeds, size, directory)
        }
        Arguments::Compare { deployment, seed } => compare(&deployment, seed),
        Arguments::Slopes => {
            print!("{}", slopes::report());
            ExitCode::SUCCESS
        }
    }
}

fn own_role() -> Option<Role> {
    let mut arguments = std::env::args().skip(1);
    if arguments.next()? != ROLE_ARGUMENT {
        return None;
    }
    serde_json::from_str(&arguments.next()?).ok()
}

fn seeds(text: &str) -> Result<(u64, u64), String> {
    let wrong = || format!("'{text}' is no range of seeds; write it as 1..51");
    let (first, last) = text.split_once("..").ok_or_else(wrong)?;
    let first = first.parse().map_err(|_| wrong())?;
    let last = last.parse().map_err(|_| wrong())?;
    if first >= last {
        return Err(wrong());
    }
    Ok((first, last))
}

fn run_seeds((first, last): (u64, u64), size: Size, directory: Option<PathBuf>) -> ExitCode {
    let Some(deployment) = Deployment::named("midshire") else {
        eprintln!("the example configuration is not valid; run its tests");
        return ExitCode::from(2);
    };
    let directory = directory.unwrap_or_else(|| {
        std::env::temp_dir().join(format!("lapismoor-soak-{}", std::process::id()))
    });
    println!("logs and records of failing seeds: {}", directory.display());
    let mut failed = 0;
    for seed in first..last {
        let place = directory.join(seed.to_string());
        let played = std::env::current_exe().and_then(|program| {
            let config = &deployment.config;
            actix_web::rt::System::new()
                .block_on(processes::run(&program, &place, size, config, seed))
        });
        match played {
            Ok(outcome) if outcome.broken.is_empty() => {
                println!("seed {seed}: {} requests", outcome.requests);
                if let Err(error) = std::fs::remove_dir_all(&place) {
                    eprintln!("{} stays: {error}", place.display());
                }
            }
            Ok(outcome) => {
                failed += 1;
                println!("seed {seed}: BROKEN {:?}", outcome.broken);
                for step in outcome.plan.steps {
                    println!("  {step:?}");
                }
            }
            Err(error) => {
                failed += 1;
                println!("seed {seed}: could not be played: {error}");
            }
        }
    }
    println!("{failed} of {} seeds broke promises", last - first);
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn compare(name: &str, seed: u64) -> ExitCode {
    let Some(deployment) = Deployment::named(name) else {
        eprintln!("there is no deployment '{name}'; use midshire or kerbrat");
        return ExitCode::from(2);
    };
    let policies = compare::all(&deployment, seed).into_iter();
    let summaries: Vec<Summary> = policies
        .map(|mut policy| compare::run(&deployment, &mut policy, seed))
        .collect();
    print!("{}", compare::table(&summaries));
    ExitCode::SUCCESS
}
