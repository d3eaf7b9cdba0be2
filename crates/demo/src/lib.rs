//! Starts a fleet, with stand-ins for its targets and the key-value service, as separate processes
//! on loopback, sends load, injects faults and checks the run against the records of the stand-ins.

pub mod caller;
pub mod checker;
pub mod crashing;
pub mod fleet;
pub mod fleet_client;
pub mod fleet_size;
pub mod load;
pub mod process;
pub mod resource_usage;
pub mod role;
pub mod scaling;
pub mod scenario;
pub mod sent_once;
