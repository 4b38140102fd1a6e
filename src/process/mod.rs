//! What every daemon has: settings, keys, the time line and the text in force.

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

/// The common part of a daemon.
#[derive(Debug)]
pub struct Process {
    /// Settings.
    pub settings: Settings,
    /// This run.
    pub incarnation: Incarnation,
    /// Events and the clock.
    pub ring: RefCell<EventRing>,
    /// The text in force.
    pub intent: RefCell<Intent>,
    keys: Keyring,
}

impl Process {
    /// Prepares a daemon from its settings.
    pub fn new(settings: Settings) -> Self {
        Process {
            incarnation: Incarnation::random(),
            ring: RefCell::new(EventRing::new(settings.instance.clone())),
            intent: RefCell::new(Intent::default()),
            keys: Keyring::new(&settings.peer_keys),
            settings,
        }
    }

    /// Notes an event.
    pub fn event(&self, kind: Kind, subject: impl Display, detail: impl Display) {
        let (subject, detail) = (subject.to_string(), detail.to_string());
        self.ring.borrow_mut().push(clock::wall(), kind, &subject, &detail);
    }

    /// Returns the version in force.
    pub fn version(&self) -> IntentVersion {
        self.intent.borrow().version()
    }

    /// Signs and encodes a message.
    pub fn encode<T: Serialize>(&self, body: T) -> Vec<u8> {
        let at = self.ring.borrow_mut().clock.tick(clock::wall());
        let from = self.settings.instance.clone();
        let (incarnation, version) = (self.incarnation, self.version());
        self.keys.encode(&Envelope { from, incarnation, at, version, body })
    }

    /// Checks and decodes a frame; a bad one is counted, noted and dropped.
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

    /// Sends a request over a link and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Silent`] where no valid reply comes within `wait`.
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
