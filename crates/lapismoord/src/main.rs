//! Command line of the router daemon: parses the arguments, reads the settings and starts the
//! daemon, which the library crates implement.

mod platform;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use lapismoor::Settings;

/// The lapismoor router daemon
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings file, as JSON; `platform` reads the platform's own format
    #[bpaf(argument("FILE"), optional)]
    settings: Option<PathBuf>,
    #[bpaf(external, fallback(Command::Run))]
    command: Command,
}

#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
enum Command {
    /// Run the daemon until SIGTERM (the default)
    #[bpaf(command)]
    Run,
    /// Check whether the settings are valid
    #[bpaf(command)]
    Check,
    /// Run the daemon with the platform's settings file, from `--settings` or `LAPISMOOR_NODE_FILE`
    #[bpaf(command)]
    Platform {
        /// Write spans of sampled requests to this file, as JSON lines
        #[bpaf(argument("FILE"))]
        trace_file: Option<PathBuf>,
        /// Log level: off, error, warn, info, debug or trace
        #[bpaf(argument("LEVEL"), fallback(log::LevelFilter::Info))]
        log_level: log::LevelFilter,
    },
}

/// Exit code for missing or invalid settings.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let arguments = arguments().run();
    if let Command::Platform {
        trace_file,
        log_level,
    } = arguments.command
    {
        return platform::run(arguments.settings, trace_file, log_level);
    }
    let Some(path) = arguments.settings else {
        eprintln!("no settings file; pass --settings FILE");
        return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
    };
    let settings = match Settings::read(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
        }
    };
    match arguments.command {
        Command::Check => {
            println!("{} is valid", path.display());
            ExitCode::SUCCESS
        }
        _ => lapismoor::run_process(settings),
    }
}
