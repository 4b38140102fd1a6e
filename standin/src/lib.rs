//! Stand-ins for the systems around the product, with load generators and fault injection for tests
//! and benchmarks. Not part of a release.

pub mod bench;
pub mod broken;
pub mod caller;
pub mod demo;
pub mod engine;
pub mod fleet;
pub mod host;
pub mod list;
pub mod malformed;
pub mod plain;
pub mod platform;
pub mod relay;
pub mod slopes;
pub mod soak;
pub mod store;
