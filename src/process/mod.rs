//! State that the entry and sidecar daemons have in common: settings, keys, events and the current
//! configuration.

mod outage;

pub use outage::OutageLog;

use crate::clock;
use crate::event::{EventRing, Kind};
use crate::frame::{Envelope, Keyring, Reply, Request};
use crate::id::{Incarnation, IntentVersion};
use crate::intent::Intent;
use crate::peer::{Link, PeerError};
use crate::settings::Settings;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::fmt::Display;
use std::time::Duration;

/// Common state of an entry or sidecar daemon.
#[derive(Debug)]
pub struct Process {
    /// Settings read at start; they do not change while the process runs.
    pub settings: Settings,
    /// Random identifier of this run of the process.
    pub incarnation: Incarnation,
    /// Recorded events and the hybrid logical clock.
    pub ring: RefCell<EventRing>,
    /// The current configuration.
    pub intent: RefCell<Intent>,
    keys: Keyring,
}

impl Process {
    /// Creates the state of a new incarnation, without a configuration.
    pub fn new(settings: Settings) -> Self {
        Process {
            incarnation: Incarnation::random(),
            ring: RefCell::new(EventRing::new(settings.instance.clone())),
            intent: RefCell::new(Intent::default()),
            keys: Keyring::new(&settings.peer_keys),
            settings,
        }
    }

    /// Records and logs an event.
    pub fn event(&self, kind: Kind, subject: impl Display, detail: impl Display) {
        let (subject, detail) = (subject.to_string(), detail.to_string());
        self.ring.borrow_mut().push(clock::wall(), kind, &subject, &detail);
    }

    /// Returns the version of the current configuration.
    pub fn version(&self) -> IntentVersion {
        self.intent.borrow().version()
    }

    /// Encodes and signs a message, adding the sender, its clock and its configuration version.
    pub fn encode<T: Serialize>(&self, body: T) -> Vec<u8> {
        let at = self.ring.borrow_mut().clock.tick(clock::wall());
        let from = self.settings.instance.clone();
        let (incarnation, version) = (self.incarnation, self.version());
        self.keys.encode(&Envelope { from, incarnation, at, version, body })
    }

    /// Verifies and decodes a frame and advances the clock past its stamp.
    ///
    /// Returns `None` for an invalid frame, which is counted and recorded as an event.
    pub fn decode<T: DeserializeOwned>(&self, frame: &[u8]) -> Option<Envelope<T>> {
        match self.keys.decode::<T>(frame) {
            Ok(envelope) => {
                self.ring.borrow_mut().clock.observe(clock::wall(), envelope.at);
                Some(envelope)
            }
            Err(e) => {
                metrics::counter!("frames_dropped_total").increment(1);
                self.event(Kind::FrameDropped, "frame", e);
                None
            }
        }
    }

    /// Sends a request over a link and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Silent`] if no valid reply arrives within `wait`, and
    /// [`PeerError::Socket`] if nng reports another error.
    pub async fn request(
        &self,
        link: &Link,
        request: Request,
        wait: Duration,
    ) -> Result<Envelope<Reply>, PeerError> {
        let reply = link.request(&self.encode(request), wait).await?;
        self.decode(&reply).ok_or(PeerError::Silent)
    }
}
