//! One odd name, key of the store or row of a message keeps nothing else from being served.

use crate::common::{CONFIG, send_request, start_platform, wait_for};
use crate::odd_messages::Peer;
use skylarkthread::gossip::{Digest, PeerMessage, Tag};
use skylarkthread::id::EndpointId;
use skylarkthread::pool::Evacuation;
use skylarkthread::store::{Era, Position};
use standin::platform::{Action, Endpoint, Gateway, Store, send};
use std::path::Path;
use std::time::Duration;

fn log_of(gateway: &Gateway) -> String {
    std::fs::read_to_string(gateway.settings_file.with_extension("log")).unwrap_or_default()
}

#[test]
fn names_of_upper_case_and_punctuation_are_served() {
    let e = Endpoint::start("i-1", Action::Respond(200, "fine".into()));
    let store = Store::start();
    let config = CONFIG.replace("\"plain\"", "\"Plain:v2\"").replace("\"acme\"", "\"Acme/EU\"");
    store.set("op/config", Some(config.as_bytes()));
    let listing = e.listing("Plain:v2", "ready").replace("z-a", "UK-South:1");
    store.set("servers/i-1", Some(listing.as_bytes()));
    let binary = Path::new(env!("CARGO_BIN_EXE_skylarkthread"));
    let gateway = Gateway::start_prepared(binary, store.address, |_, file, text| {
        let text = text.replace("zone=z-a", "zone=UK-South:1").replace("node=", "node=Front/");
        std::fs::write(file, text).expect("cannot write the settings file");
    });
    assert!(wait_for(5, || log_of(&gateway).contains("for=callers")), "{}", log_of(&gateway));
    assert!(wait_for(5, || gateway.readiness() == 200), "{}", log_of(&gateway));
    assert_eq!(send_request(&gateway, "GET", "/safe/x", "id-1").status, 200);
    let tenant = e.received()[0].req.header("x-tenant").map(str::to_owned);
    assert_eq!(tenant.as_deref(), Some("Acme/EU"));
    assert!(wait_for(5, || !store.keys("gateways/Front/").is_empty()), "not registered");
}

/// Returns a gateway that knows a peer, with its store and an endpoint.
fn start_with_peer() -> (Endpoint, Store, Gateway, Peer) {
    let e = Endpoint::start("i-1", Action::Respond(200, "fine".into()));
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    let peer = Peer::register(&store, "g-odd-1");
    let is_known = || log_of(&gateway).contains("kind=LinkUp subject=g-odd-1");
    assert!(wait_for(5, is_known), "{}", log_of(&gateway));
    (e, store, gateway, peer)
}

fn tag(id: &str) -> Tag {
    Tag::of(&id.parse::<EndpointId>().expect("the id is valid"))
}

#[test]
fn digest_of_a_large_fleet_is_read() {
    let (_e, _store, gateway, peer) = start_with_peer();
    let centre = "z-b".parse().expect("the name is valid");
    let evacuation = Evacuation { centre, at: Position::new(Era(0), 1 << 40), active: true };
    let rows = (0..1500).map(|n| (tag(&format!("i-{n}")), 1, 1 << 20, 1 << 20, 0)).collect();
    let evacuations = vec![(&evacuation).into()];
    peer.send(&gateway, PeerMessage::Digest(Digest { rows, evacuations, ..Digest::default() }));
    let is_read = || log_of(&gateway).contains("kind=EvacuationBegun subject=z-b");
    assert!(wait_for(5, is_read), "{}", log_of(&gateway));
}

#[test]
fn registration_that_cannot_be_read_leaves_the_known_peer() {
    let (_e, store, gateway, peer) = start_with_peer();
    store.set("gateways/g-odd-1", Some(b"{\"address\":7}"));
    store.set("gateways/g-odd-2", Some(b"\xff"));
    std::thread::sleep(Duration::from_secs(1));
    peer.send(&gateway, PeerMessage::EngineLeaving(tag("i-1")));
    let is_read = || log_of(&gateway).contains("from=peer peer=g-odd-1");
    assert!(wait_for(5, is_read), "{}", log_of(&gateway));
}

#[test]
fn own_registration_that_somebody_overwrites_is_written_again() {
    let (_e, store, gateway, _peer) = start_with_peer();
    let key = store.keys("gateways/").into_iter().find(|key| key != "gateways/g-odd-1");
    let key = key.expect("the gateway is registered");
    let read = || {
        let target = key.replace('/', "%2F");
        let request = format!("GET /kv-key?key={target} HTTP/1.1\r\nHost: store\r\n\r\n");
        send(store.address, request.as_bytes()).reply().body
    };
    let registered = read();
    // The lease of the registration is renewed every 5 s.
    store.set(&key, Some(b"7"));
    let value = |text: &str| Some(text.split_once("\"value\":\"")?.1.split('"').next()?.to_owned());
    assert!(value(&registered).is_some(), "{registered}");
    let is_back = || value(&read()) == value(&registered);
    assert!(wait_for(3, is_back), "{} {}", read(), log_of(&gateway));
}
