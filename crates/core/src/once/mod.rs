//! At-most-once execution: only the daemon named in a request's id dispatches the request.

pub mod key_binding;
pub mod ledger;
pub mod settings;

pub use key_binding::{BindStep, KEY_LEASE_ROTATION, KEY_LEASE_TTL, KeyBinding, record_key};
pub use ledger::{ClaimResult, KeptAnswer, Ledger};
pub use settings::OnceSettings;
