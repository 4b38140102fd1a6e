//! One odd item of a configuration, a listing, a report or a message costs no more than itself.

use rstest::rstest;
use skylarkthread::platform::{GatewaySettings, parse_listing, parse_table};
use skylarkthread::pool::Listing;
use skylarkthread::route::Table;

const SETTINGS: &str = include_str!("../data/platform/settings.conf");

fn table_of(text: &str) -> Table {
    parse_table(text.as_bytes()).expect("it is a configuration")
}

fn listing_of(fields: &str) -> Option<Listing> {
    parse_listing("servers/i-1", format!(r#"{{"state":"ready",{fields}}}"#).as_bytes())
}

#[rstest]
#[case::upper_case("Captions-EU")]
#[case::punctuation("captions:v2/eu+1@main")]
#[case::long(&"n".repeat(200))]
fn names_that_operators_choose_are_used_as_they_are(#[case] name: &str) {
    let table = table_of(&format!(
        r#"{{"version":1,"tenants":[{{"name":"{name}","api_keys":["k"]}}],
            "services":[{{"name":"{name}","max_connections":5}}],
            "routes":[{{"host":"h","prefix":"/","kind":"safe","timeout_ms":1,"target_latency_ms":1,"service":"{name}"}},
                {{"host":"h","prefix":"/a/","kind":"safe","timeout_ms":1,"target_latency_ms":1,
                  "traffic_split":[{{"service":"{name}","weight":1}}]}}]}}"#
    ));
    assert_eq!(table.faults, []);
    for path in ["/", "/a/"] {
        let (route, owner) = table.authorize("h", path, Some("k")).expect("the key is known");
        assert_eq!(owner.expect("the key has an owner").workspace.as_str(), name);
        assert!(table.services.contains_key(&route.services[0].service));
    }
    let listing = listing_of(&format!(
        r#""service":"{name}","address":"10.0.0.1:80","zone":"{name}","slots":4"#
    ));
    let listing = listing.expect("the entry is sound");
    assert_eq!((listing.service.as_str(), listing.centre.as_str()), (name, name));
    let text = SETTINGS.replace("node=front-uks-a-1", &format!("node={name}"));
    let settings = GatewaySettings::parse(&text).expect("the settings are sound");
    assert_eq!(settings.instance.as_str(), name);
}
