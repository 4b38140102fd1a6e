//! Serves language-model generations of unknown length on busy engines.
//!
//! Two daemons and a client share this crate: the [`entry`] takes callers' requests, the
//! [`sidecar`] stands beside each endpoint, and [`cli`] reads the command line. What decides does
//! no I/O and takes the present time as an argument: [`gate`] admits generations to an engine by
//! the memory they are forecast to need, [`place`] chooses endpoints, [`once`] keeps calls from
//! running twice. They read and write the state in [`board`].
//!
//! # Example
//!
//! What operators submit is one text. It is checked as a whole, and each fault has its place:
//!
//! ```
//! use skylarkthread::text::Text;
//!
//! let text = Text::parse(
//!     r#"{
//!       // A model that depends on a plain service.
//!       "services": {
//!         "captions": {
//!           "kind": "model", "model": "large", "version": "v1",
//!           "priority": 9, "depends_on": ["booking"]
//!         },
//!         "booking": { "kind": "plain", "once": ["POST /bookings"] }
//!       }
//!     }"#,
//! );
//! let text = text.expect("the text has no faults");
//! // A dependency ranks as high as what waits on it.
//! assert_eq!(text.effective_priority(&"booking".parse().unwrap()), 9);
//!
//! let faults = Text::parse("{ \"services\": { \"a\": { \"kind\": \"batch\" } } }").unwrap_err();
//! assert_eq!(faults[0].to_string(), "1:32: E008 expected one of \"model\", \"plain\"");
//! ```

pub mod admit;
pub mod balance;
pub mod board;
pub mod budget;
pub mod cli;
pub mod clock;
pub mod eject;
pub mod entry;
pub mod evacuate;
pub mod event;
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
pub mod jsonc;
pub mod lead;
pub mod length;
pub mod logs;
pub mod member;
pub mod once;
pub mod peer;
pub mod place;
pub mod platform;
pub mod pool;
pub mod problem;
pub mod process;
pub mod quarantine;
pub mod route;
pub mod settings;
pub mod shutdown;
pub mod sidecar;
pub mod sse;
pub mod store;
pub mod text;
