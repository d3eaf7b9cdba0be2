//! The router daemon. All of it is in the libraries; this reads arguments and settings.

mod platform;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use lapismoor::Settings;

/// The lapismoor router daemon
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings, as JSON
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
    /// Check the settings and say whether they are valid
    #[bpaf(command)]
    Check,
    /// Run the daemon on the users' platform, whose settings the environment names
    #[bpaf(command)]
    Platform {
        /// Write spans of sampled requests there, as JSON lines
        #[bpaf(argument("FILE"))]
        trace_file: Option<PathBuf>,
        /// Log level: error, warn, info, debug
        #[bpaf(argument("LEVEL"), fallback(log::LevelFilter::Info))]
        log_level: log::LevelFilter,
    },
}

/// Exit code for settings that are not valid.
const INVALID_SETTINGS: u8 = 2;

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
        eprintln!("--settings FILE is missing; name the daemon's settings");
        return ExitCode::from(INVALID_SETTINGS);
    };
    let settings = match Settings::read(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(INVALID_SETTINGS);
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
