//! Stand-ins for what surrounds the system, and the tools that drive it in tests and
//! measurements. None of this ships.

pub mod bench;
pub mod caller;
pub mod demo;
pub mod engine;
pub mod fleet;
pub mod host;
pub mod list;
pub mod plain;
pub mod platform;
pub mod relay;
pub mod slopes;
pub mod soak;
pub mod store;
