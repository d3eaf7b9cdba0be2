//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Manage the configuration of a lapismoor fleet and inspect its state
///
/// Exit codes: 0 success; 1 the key-value service or a daemon did not answer, or there is no such
/// configuration or profile; 2 invalid input, or no log line of the request; 3 conflict with
/// another change; 4 unknown whether the change took effect.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct Arguments {
    /// Address of the platform's key-value service
    #[bpaf(argument("IP:PORT"), env("LAPISMOOR_KEY_VALUE"), optional)]
    pub(crate) key_value: Option<SocketAddr>,
    /// Print JSON
    pub(crate) json: bool,
    #[bpaf(external)]
    pub(crate) command: Command,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum Command {
    /// Show, check or change the configuration
    #[bpaf(command)]
    Config(#[bpaf(external(config_command))] ConfigCommand),
    /// List or show profiles
    #[bpaf(command)]
    Profile(#[bpaf(external(profile_command))] ProfileCommand),
    /// Show the state and the load of each daemon
    #[bpaf(command)]
    Fleet,
    /// Explain from the logs how a request ended, and why
    #[bpaf(command)]
    Explain {
        /// Request id
        #[bpaf(positional("REQUEST_ID"))]
        request: String,
        /// Log files of the daemons; standard input if - or omitted
        #[bpaf(positional("LOG"))]
        logs: Vec<PathBuf>,
    },
    /// Show the state of a daemon and its targets, with the age of the data
    #[bpaf(command)]
    Status {
        /// Operator address of the daemon
        #[bpaf(positional("IP:PORT"))]
        daemon: SocketAddr,
    },
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum ConfigCommand {
    /// Show the accepted configuration
    #[bpaf(command)]
    Show,
    /// Check a file without changing anything
    #[bpaf(command)]
    Check {
        /// Check the file as a configuration document of the platform
        platform: bool,
        /// Configuration file, as JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a file and apply it to the fleet
    #[bpaf(command)]
    Apply {
        /// Revision that the change is based on; fail with a conflict if another one is accepted
        #[bpaf(argument("REVISION"))]
        base: Option<u64>,
        /// Configuration file, as JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show on how many daemons the accepted configuration is in force
    #[bpaf(command)]
    Status,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum ProfileCommand {
    /// List the profiles
    #[bpaf(command)]
    List,
    /// Show one profile
    #[bpaf(command)]
    Show {
        /// Profile name
        #[bpaf(positional("NAME"))]
        name: String,
    },
}
