//! A whole fleet with its stand-ins as separate processes on loopback: started, loaded, broken,
//! and judged by the stand-ins' own records.

pub mod caller;
pub mod checker;
pub mod fleet;
pub mod fleet_client;
pub mod fleet_size;
pub mod load;
pub mod process;
pub mod process_use;
pub mod role;
pub mod scenario;
pub mod slopes;
