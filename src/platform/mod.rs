//! The adapter to the users' platform.
//!
//! Everything here translates: the platform's settings file, its metadata store, its entries of
//! endpoints and configuration, its headers and its engines' calls, into the project's own types
//! and back. Nothing here decides, and nothing outside names a header, field, key or call of the
//! platform.

mod config;
mod deploy;
mod engine;
mod headers;
mod kv;
mod servers;
mod settings;

pub use config::scan_table;
pub use deploy::{Deploy, DeployError, Role};
pub use engine::{CallError, Copied, Handoff, Report, copy, forget, report};
pub use headers::{
    Answer, Ask, Onward, Prompt, answer_head, forward_head, host, refusal_head, scan_answer,
    scan_ask,
};
pub use kv::Kv;
pub use servers::scan_listing;
pub use settings::{Boot, BootError, settings_path};

/// Key of the operators' configuration.
pub const CONFIG_KEY: &str = "op/config";
/// Start of the keys of endpoints.
pub const SERVERS_PREFIX: &str = "servers/";
/// Path at which the platform asks whether an instance takes new connections.
pub const READY_PATH: &str = "/ready";
