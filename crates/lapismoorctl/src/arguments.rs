//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use compact_str::CompactString;

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
    /// Explain where a request would go now, and why, without sending it
    #[bpaf(command)]
    Where {
        #[bpaf(external(where_query))]
        query: WhereQuery,
        /// Operator address of the daemon
        #[bpaf(positional("IP:PORT"))]
        daemon: SocketAddr,
    },
    /// Show the state of a daemon and its targets, with the age of the data
    #[bpaf(command)]
    Status {
        /// Operator address of the daemon
        #[bpaf(positional("IP:PORT"))]
        daemon: SocketAddr,
    },
}

/// The request that `where` explains.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct WhereQuery {
    /// Host that the caller names
    #[bpaf(argument("HOST"), fallback(CompactString::default()))]
    pub(crate) host: CompactString,
    /// Path of the request
    #[bpaf(argument("PATH"))]
    pub(crate) path: CompactString,
    /// Service instead of the one that the route selects
    #[bpaf(argument("SERVICE"))]
    pub(crate) service: Option<CompactString>,
    /// Key of the caller
    #[bpaf(argument("KEY"), env("LAPISMOOR_CALLER_KEY"), optional)]
    pub(crate) key: Option<CompactString>,
    /// Workspace of the caller, instead of a key
    #[bpaf(argument("WORKSPACE"))]
    pub(crate) workspace: Option<CompactString>,
    /// Id of the request
    #[bpaf(argument("REQUEST_ID"), fallback(CompactString::default()))]
    pub(crate) request: CompactString,
    /// Parts of the prompt, with hexadecimal ids and lengths in tokens
    #[bpaf(argument("ID:TOKENS,..."), fallback(PromptParts::default()))]
    pub(crate) parts: PromptParts,
}

/// Ids and lengths in tokens of the parts of a prompt.
#[derive(Debug, Clone, Default)]
pub(crate) struct PromptParts(pub(crate) Vec<(u64, u32)>);

impl FromStr for PromptParts {
    type Err = &'static str;

    fn from_str(list: &str) -> Result<Self, Self::Err> {
        let parts = list.split(',').filter(|part| !part.trim().is_empty());
        let parts = parts.map(|part| {
            let part = parse_part(part.trim());
            part.ok_or("a part is not a hexadecimal id and a number of tokens")
        });
        parts.collect::<Result<_, _>>().map(Self)
    }
}

fn parse_part(part: &str) -> Option<(u64, u32)> {
    let (id, tokens) = part.split_once(':')?;
    Some((u64::from_str_radix(id, 16).ok()?, tokens.parse().ok()?))
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
