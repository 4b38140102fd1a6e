//! Reads the settings file, at the start until it can be used, and again when it changes.

use super::listeners::{self, PeerSockets};
use super::{Gateway, inbox, serve};
use crate::clock;
use crate::event::Kind;
use crate::platform::GatewaySettings;
use crate::reload::{Content, SettingsFile};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::Mutex;

/// Interval at which the settings file is read again, since it may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Returns what a text says of the settings of a gateway; faulty fields have their values of `known`.
pub fn parse(text: &str, known: Option<&GatewaySettings>) -> Content<GatewaySettings> {
    let reading = GatewaySettings::read(text, known);
    let fault = (!reading.is_sound()).then(|| reading.describe());
    Content { settings: reading.settings, fault }
}

/// Returns what a text says of the settings to start with, and the address for callers.
pub fn parse_first(text: &str) -> Content<(GatewaySettings, SocketAddr)> {
    let Content { settings, fault } = parse(text, None);
    let usable = settings.and_then(|s| s.caller_address.map(|front| (s, front)));
    Content { settings: usable, fault }
}

/// Applies changed settings, on SIGHUP and when a periodic check finds the file changed.
pub async fn run(gw: Rc<Gateway>, file: Rc<Mutex<SettingsFile>>, hangups: Rc<Mutex<Signal>>) {
    let (mut file, mut hangups) = (file.lock().await, hangups.lock().await);
    loop {
        let is_requested = tokio::select! {
            received = hangups.recv() => received.is_some(),
            () = tokio::time::sleep(RELOAD_INTERVAL) => false,
        };
        let known = gw.settings.borrow().clone();
        let read = file.read(|text| parse(text, Some(&known))).await;
        let Some(mut settings) = read else { continue };
        let own = serve_added(&gw, &known, &settings);
        if settings.keep_identity(&own) {
            file.log_unapplied(clock::now());
        }
        if settings != known {
            gw.event(Kind::Reloaded, &settings.instance, "changed=true");
            apply(&gw, settings);
        } else if is_requested {
            gw.event(Kind::Reloaded, &settings.instance, "changed=false");
        }
    }
}

/// Serves addresses that `known` lacks and `settings` have, as after a start with a part of the file.
/// Returns `known` with those that are served.
fn serve_added(
    gw: &Rc<Gateway>,
    known: &GatewaySettings,
    settings: &GatewaySettings,
) -> GatewaySettings {
    let mut own = known.clone();
    if let (None, Some(address)) = (known.probe_address, settings.probe_address) {
        let opening = listeners::probes(&gw.settings.borrow(), address);
        serve::start_probes(gw, opening);
        own.probe_address = Some(address);
    }
    if let (None, Some(address)) = (known.peer_address, settings.peer_address) {
        inbox::start(gw, PeerSockets::open(address));
        own.peer_address = Some(address);
    }
    own
}

fn apply(gw: &Gateway, settings: GatewaySettings) {
    if settings.store_address != gw.settings.borrow().store_address {
        gw.store.set_address(settings.store_address);
        // Changes that only the store at the former address had are not in a watch of this one.
        gw.store_position.borrow_mut().reset();
    }
    *gw.settings.borrow_mut() = settings;
}
