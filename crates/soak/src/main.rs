//! Command line of the soak checks.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use demo::process::ROLE_ARGUMENT;
use demo::role::{self, Role};
use lapismoor_core::config::Config;
use soak::compare::{self, Summary};
use soak::deployment::Deployment;
use soak::processes::{self, Additions, CalmOutcome, CalmPlan, FaultStep, Outcome, ProcessCounts};
use soak::slopes;

/// Run long checks and measurements
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Arguments {
    /// Run the real programs as processes, inject the faults of each seed and check the guarantees
    #[bpaf(command)]
    Processes {
        /// Range of seeds as FIRST..LAST, without LAST
        #[bpaf(argument::<String>("A..B"), parse(|text| parse_seed_range(&text)))]
        seeds: (u64, u64),
        /// Number of daemons
        #[bpaf(argument("N"), fallback(4))]
        daemons: usize,
        /// Number of engines
        #[bpaf(argument("N"), fallback(5))]
        engines: usize,
        /// Add silences: engines are suspended for about a second and go on
        silences: bool,
        /// Add requests that share a prompt part that ends engines, no two alike
        parts: bool,
        /// Add limits: engines name how many requests they take
        limits: bool,
        /// Run engines of two software versions side by side
        versions: bool,
        /// Directory for logs and records; kept only for failing seeds
        #[bpaf(argument("DIR"))]
        directory: Option<PathBuf>,
    },
    /// Run the real programs while engines and service targets fall silent for about a second and go on
    ///
    /// There are no other faults, so no stream may be cut off and no connection may end without a
    /// response.
    #[bpaf(command)]
    Silences {
        /// Range of seeds as FIRST..LAST, without LAST
        #[bpaf(argument::<String>("A..B"), parse(|text| parse_seed_range(&text)))]
        seeds: (u64, u64),
        /// Change the configuration meanwhile
        changes: bool,
        /// Directory for logs and records; kept only for failing seeds
        #[bpaf(argument("DIR"))]
        directory: Option<PathBuf>,
    },
    /// Compare placement policies on the same simulated traffic
    #[bpaf(command)]
    Compare {
        /// Deployment to simulate: midshire or kerbrat
        #[bpaf(argument("NAME"))]
        deployment: String,
        /// Seed of traffic and engine churn
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
    },
    /// Measure the cost of decisions as tables grow
    #[bpaf(command)]
    Slopes,
}

fn main() -> ExitCode {
    if let Some(role) = role_from_arguments() {
        return role::run(role);
    }
    match arguments().run() {
        Arguments::Processes {
            seeds,
            daemons,
            engines,
            silences,
            parts,
            limits,
            versions,
            directory,
        } => {
            let additions = Additions {
                has_silences: silences,
                has_crashing_part: parts,
                has_limits: limits,
                versions: if versions { 2 } else { 1 },
            };
            let counts = ProcessCounts {
                daemons,
                engines,
                services: 2,
            };
            run_seeds(seeds, directory, |program, directory, config, seed| {
                let running = processes::run(program, directory, counts, config, seed, additions);
                Ok(actix_web::rt::System::new().block_on(running)?.into())
            })
        }
        Arguments::Silences {
            seeds,
            changes,
            directory,
        } => run_seeds(seeds, directory, |program, directory, config, seed| {
            let plan = CalmPlan {
                has_changes: changes,
                ..CalmPlan::new(seed)
            };
            let running = processes::run_calm(program, directory, config, &plan);
            Ok(actix_web::rt::System::new().block_on(running)?.into())
        }),
        Arguments::Compare { deployment, seed } => compare_policies(&deployment, seed),
        Arguments::Slopes => {
            print!("{}", slopes::report());
            ExitCode::SUCCESS
        }
    }
}

fn role_from_arguments() -> Option<Role> {
    let mut arguments = std::env::args().skip(1);
    if arguments.next()? != ROLE_ARGUMENT {
        return None;
    }
    serde_json::from_str(&arguments.next()?).ok()
}

fn parse_seed_range(text: &str) -> Result<(u64, u64), String> {
    let invalid =
        || format!("'{text}' is not a range of seeds; expected FIRST..LAST, such as 1..51");
    let (first, last) = text.split_once("..").ok_or_else(invalid)?;
    let first = first.parse().map_err(|_| invalid())?;
    let last = last.parse().map_err(|_| invalid())?;
    if first >= last {
        return Err(invalid());
    }
    Ok((first, last))
}

/// Result of a run, to be printed.
struct SeedResult {
    summary: String,
    violations: Vec<String>,
    steps: Vec<FaultStep>,
}

impl From<Outcome> for SeedResult {
    fn from(outcome: Outcome) -> Self {
        Self {
            summary: format!("{} requests", outcome.requests),
            violations: outcome.violations,
            steps: outcome.plan.steps,
        }
    }
}

impl From<CalmOutcome> for SeedResult {
    fn from(outcome: CalmOutcome) -> Self {
        Self {
            summary: outcome.to_string(),
            violations: outcome.violations,
            steps: outcome.plan.steps,
        }
    }
}

/// Runs each seed with `run`, which gets the program, the directory of the seed, the configuration and
/// the seed.
fn run_seeds(
    (first, last): (u64, u64),
    directory: Option<PathBuf>,
    run: impl Fn(&Path, &Path, &Config, u64) -> std::io::Result<SeedResult>,
) -> ExitCode {
    let Some(deployment) = Deployment::by_name("midshire") else {
        eprintln!("the example configuration 'midshire' is invalid; run its tests for the reason");
        return ExitCode::from(2);
    };
    let directory = directory.unwrap_or_else(|| {
        std::env::temp_dir().join(format!("lapismoor-soak-{}", std::process::id()))
    });
    println!(
        "keeping logs and records of failing seeds in {}",
        directory.display()
    );
    let mut failed = 0;
    for seed in first..last {
        let seed_directory = directory.join(seed.to_string());
        let result = std::env::current_exe()
            .and_then(|program| run(&program, &seed_directory, &deployment.config, seed));
        match result {
            Ok(outcome) if outcome.violations.is_empty() => {
                println!("seed {seed}: {}", outcome.summary);
                if let Err(error) = std::fs::remove_dir_all(&seed_directory) {
                    eprintln!("cannot remove {}: {error}", seed_directory.display());
                }
            }
            Ok(outcome) => {
                failed += 1;
                println!("seed {seed}: {}", outcome.summary);
                println!("seed {seed}: guarantees violated: {:?}", outcome.violations);
                for step in outcome.steps {
                    println!("  {step:?}");
                }
            }
            Err(error) => {
                failed += 1;
                println!("seed {seed}: cannot run: {error}");
            }
        }
    }
    println!("{failed} of {} seeds failed", last - first);
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn compare_policies(name: &str, seed: u64) -> ExitCode {
    let Some(deployment) = Deployment::by_name(name) else {
        eprintln!("unknown deployment '{name}'; expected midshire or kerbrat");
        return ExitCode::from(2);
    };
    let policies = compare::all_policies(&deployment, seed).into_iter();
    let summaries: Vec<Summary> = policies
        .map(|mut policy| compare::simulate(&deployment, &mut policy, seed))
        .collect();
    print!("{}", compare::table(&summaries));
    ExitCode::SUCCESS
}
