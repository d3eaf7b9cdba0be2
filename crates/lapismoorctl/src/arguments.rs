//! Arguments of the command.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Edit the configuration of a lapismoor fleet and look at its state
///
/// Exit codes: 0 done, 1 the key-value service or a daemon did not answer, 2 the configuration is
/// not valid or the logs have no line of the request, 3 another change came first, 4 it is unknown whether the change took effect.
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
    /// Look at profiles
    #[bpaf(command)]
    Profile(#[bpaf(external(profile_command))] ProfileCommand),
    /// Show the daemons and what they do
    #[bpaf(command)]
    Fleet,
    /// Tell from logs what became of a request, and why
    #[bpaf(command)]
    Explain {
        /// Id of the request
        #[bpaf(positional("REQUEST_ID"))]
        request: String,
        /// Logs of the daemons; - or none reads standard input
        #[bpaf(positional("LOG"))]
        logs: Vec<PathBuf>,
    },
    /// Show what a daemon believes, with the age of each belief
    #[bpaf(command)]
    Status {
        /// Address of the daemon's metrics
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
        /// The file is a document of the platform
        platform: bool,
        /// Configuration, as JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a file and put it in force
    #[bpaf(command)]
    Apply {
        /// Revision that the change starts from; another one is a conflict
        #[bpaf(argument("REVISION"))]
        base: Option<u64>,
        /// Configuration, as JSON
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
        /// Name of the profile
        #[bpaf(positional("NAME"))]
        name: String,
    },
}
