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

pub use config::parse_table;
pub use deploy::{Deploy, DeployError, Role};
pub use engine::{CallError, CopyOutcome, Handoff, Report, copy_memory, fetch_report, free_copy};
pub use headers::{
    ForwardParams, RequestInfo, ResponseInfo, TokenCounts, forward_head, host, parse_request,
    parse_response, refusal_head, response_head,
};
pub use kv::KvClient;
pub use servers::parse_listing;
pub use settings::{GatewaySettings, SettingsError, settings_path};

/// Key of the operators' configuration.
pub const CONFIG_KEY: &str = "op/config";
/// Start of the keys of endpoints.
pub const SERVERS_PREFIX: &str = "servers/";
/// Path at which the platform asks whether an instance takes new connections.
pub const READY_PATH: &str = "/ready";
