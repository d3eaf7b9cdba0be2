//! Starts a daemon from its settings.

use std::process::ExitCode;

use lapismoor_edge::{Listeners, LogQueue, LoggingError, StartError, boot_clock};

use crate::settings::Settings;

/// Runs a daemon until SIGTERM or SIGINT, then shuts it down gracefully. Must be called on a local
/// task set, such as that of `actix::System`.
///
/// # Errors
/// [`StartError`] if the daemon cannot start.
pub async fn run(settings: Settings) -> Result<(), StartError> {
    let store = lapismoor_adapter::store_client(settings.platform.key_value_address);
    let settings = settings.into_edge_settings();
    let listeners = Listeners::bind(&settings).await?;
    let dialect = lapismoor_adapter::dialect();
    lapismoor_edge::run(settings, listeners, boot_clock(), dialect, store).await
}

/// Runs a daemon as the whole process: logs to standard output, blocks until the daemon has shut
/// down, and prints a startup error to standard error.
#[must_use]
pub fn run_process(settings: Settings) -> ExitCode {
    let log_queue = match start_logging(&settings) {
        Ok(queue) => queue,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let result = actix::System::new().block_on(run(settings));
    lapismoor_edge::flush_at_exit(&log_queue);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Starts logging to standard output.
///
/// # Errors
/// [`LoggingError`] if the log writer cannot start or a logger is already set.
fn start_logging(settings: &Settings) -> Result<LogQueue, LoggingError> {
    let daemon = &settings.core.daemon;
    lapismoor_edge::start_logging(daemon, settings.log.level, std::io::stdout())
}
