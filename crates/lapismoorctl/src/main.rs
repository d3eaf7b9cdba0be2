//! Command line for operators: manages the configuration and shows profiles and the state of the
//! fleet.

mod arguments;
mod config;
mod error;
mod explain;
mod fleet;
mod profile;
mod status;
mod store;
mod where_to;

use std::process::ExitCode;

use arguments::{Command, ConfigCommand, ProfileCommand, arguments};
use error::CommandError;

fn main() -> ExitCode {
    let arguments = arguments().run();
    let result = actix_web::rt::System::new().block_on(run(arguments));
    match result {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run(arguments: arguments::Arguments) -> Result<String, CommandError> {
    let json = arguments.json;
    match arguments.command {
        Command::Config(ConfigCommand::Check { platform, file }) => {
            if platform {
                config::check_platform(&file, json)
            } else {
                config::check(&file, json)
            }
        }
        Command::Config(ConfigCommand::Show) => {
            config::show(&store::connect(arguments.key_value)?, json).await
        }
        Command::Config(ConfigCommand::Apply { file, base }) => {
            config::apply(&store::connect(arguments.key_value)?, &file, base, json).await
        }
        Command::Config(ConfigCommand::Status) => {
            fleet::config_status(&store::connect(arguments.key_value)?, json).await
        }
        Command::Profile(ProfileCommand::List) => {
            profile::list(&store::connect(arguments.key_value)?, json).await
        }
        Command::Profile(ProfileCommand::Show { name }) => {
            profile::show(&store::connect(arguments.key_value)?, &name).await
        }
        Command::Explain { request, logs } => explain::explain(&request, &logs, json),
        Command::Status { daemon } => status::status(daemon, json).await,
        Command::Where { query, daemon } => where_to::where_to(daemon, &query, json).await,
        Command::Fleet => fleet::fleet(&store::connect(arguments.key_value)?, json).await,
    }
}
