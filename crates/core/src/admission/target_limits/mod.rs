//! Keeps the whole fleet within the request rate that a target names in its answers.
//!
//! Load pattern: targets in need take a few requests per second from all daemons together, often
//! fewer than there are daemons, while more are meant for them. Even shares would be less than one
//! request for each daemon, and unequal traffic would leave most of them unused.
//!
//! A request is sent to such a target only with a permit. Two daemons hand the permits out, each at
//! half of the rate: the first two by rendezvous hashing among the announced ones. Nothing is
//! agreed upon. A daemon that is lost, cut off or listed differently costs permits for a while, and
//! adds half of the rate at most where a third daemon takes itself for one of the two.

mod allocator;
mod decision;
mod messages;
mod notice;
mod overload;
mod returns;
mod share;
mod view;

pub use allocator::{
    Allocators, LIMIT_WINDOW, PermitDecision, Rates, asks_per_permit, is_allocator,
    is_cold_allocator, permit_sources,
};
pub use decision::PermitDesk;
pub use messages::{PermitAnswer, PermitRequest, PermitResult, TargetLimit};
pub use notice::{LimitChange, LimitNotice, RequestRate};
pub use overload::Overloads;
pub use returns::ReturnSchedule;
pub use view::LimitView;
