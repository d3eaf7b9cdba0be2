//! The `platform` command: runs the daemon with the platform's settings file.

use std::path::PathBuf;
use std::process::ExitCode;

use lapismoor_adapter::{NodeSettings, SETTINGS_VARIABLE};
use lapismoor_edge::{Listeners, boot_clock};

use crate::INVALID_SETTINGS_EXIT_CODE;

/// Runs the daemon with the settings file at `path`, or without one, with the file that
/// [`SETTINGS_VARIABLE`] names.
pub(crate) fn run(
    path: Option<PathBuf>,
    trace_file: Option<PathBuf>,
    log_level: log::LevelFilter,
) -> ExitCode {
    let path_from_environment = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(path) = path.or_else(path_from_environment) else {
        eprintln!("no settings file; set {SETTINGS_VARIABLE} or pass --settings FILE");
        return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
    };
    let mut settings = match NodeSettings::read(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
        }
    };
    settings.edge.trace_file = trace_file;
    let daemon = settings.edge.daemon.clone();
    let logging = lapismoor_edge::start_logging(&daemon, log_level, std::io::stdout());
    let log_queue = match logging {
        Ok(queue) => queue,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let (settings, dialect, store) = lapismoor_adapter::daemon_components(settings);
    let daemon_run = async move {
        let listeners = Listeners::bind(&settings).await?;
        lapismoor_edge::run(settings, listeners, boot_clock(), dialect, store).await
    };
    let result = actix::System::new().block_on(daemon_run);
    if let Err(error) = &result {
        log::error!(error:%; "not_started");
        eprintln!("{error}");
    }
    lapismoor_edge::flush_at_exit(&log_queue);
    if result.is_ok() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
