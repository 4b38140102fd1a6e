//! Serves language-model generations of unknown length on busy engines.
//!
//! The crate contains the daemons and the operators' client. An [`entry`] accepts callers' requests
//! and relays them to the [`sidecar`] that runs beside each endpoint. A [`gateway`] is the kind of
//! entry that runs on the users' platform and forwards requests directly to endpoints. [`cli`]
//! parses the command line and implements the client.
//!
//! Decision logic does no I/O and takes the current time as an argument: [`gate`] admits
//! generations to an engine by their forecast memory, [`place`] selects endpoints, and [`once`]
//! ensures that non-idempotent calls run at most once. These modules operate on the state in
//! [`board`].
//!
//! # Example
//!
//! Operators submit the configuration as a single file. It is validated as a whole, and each error
//! is reported with its line and column:
//!
//! ```
//! use skylarkthread::text::Text;
//!
//! let text = Text::parse(
//!     r#"{
//!       // A model service that depends on a plain service.
//!       "services": {
//!         "captions": {
//!           "kind": "model", "model": "large", "version": "v1",
//!           "priority": 9, "depends_on": ["booking"]
//!         },
//!         "booking": { "kind": "plain", "once": ["POST /bookings"] }
//!       }
//!     }"#,
//! );
//! let text = text.expect("the configuration is valid");
//! // A dependency inherits the priority of the services that depend on it.
//! assert_eq!(text.effective_priority(&"booking".parse().unwrap()), 9);
//!
//! let faults = Text::parse("{ \"services\": { \"a\": { \"kind\": \"batch\" } } }").unwrap_err();
//! assert_eq!(faults[0].to_string(), "1:32: E008 expected one of \"model\", \"plain\"");
//! ```

pub mod admit;
pub mod backlog;
pub mod balance;
pub mod board;
pub mod budget;
pub mod callers;
pub mod cli;
pub mod clock;
pub mod eject;
pub mod entry;
pub mod escape;
pub mod evacuate;
pub mod event;
pub mod explain;
pub mod fair;
pub mod frame;
pub mod gate;
pub mod gateway;
pub mod gossip;
pub mod h1;
pub mod hlc;
pub mod http;
pub mod id;
pub mod intent;
pub mod json;
pub mod jsonc;
pub mod lead;
pub mod length;
pub mod limit;
pub mod logs;
pub mod member;
pub mod memory;
pub mod net;
pub mod once;
pub mod outlier;
pub mod peer;
pub mod place;
pub mod platform;
pub mod pool;
pub mod problem;
pub mod process;
pub mod prompts;
pub mod quarantine;
pub mod readiness;
pub mod reload;
pub mod route;
pub mod settings;
pub mod shutdown;
pub mod sidecar;
pub mod speed;
pub mod sse;
pub mod startup;
pub mod store;
pub mod task;
pub mod text;
