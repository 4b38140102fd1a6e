//! One odd name, key of the store or row of a message keeps nothing else from being served.

use crate::common::{CONFIG, send_request, wait_for};
use standin::platform::{Action, Endpoint, Gateway, Store};
use std::path::Path;

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
