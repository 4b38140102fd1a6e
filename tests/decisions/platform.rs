//! What the adapter reads, from data as the platform writes it and as others might.

use proptest::prelude::*;
use rstest::rstest;
use skylarkthread::platform::{GatewaySettings, SettingsError, parse_listing, parse_table};
use skylarkthread::route::{Denied, Kind, TableVersion, Urgency};
use std::time::Duration;

const CONFIG: &[u8] = include_bytes!("../data/platform/config.json");
const SETTINGS: &str = include_str!("../data/platform/settings.conf");

#[test]
fn a_configuration_is_read_into_routes_services_and_keys() {
    let table = parse_table(CONFIG).expect("it is a configuration");
    assert_eq!((table.version, table.keyed), (TableVersion(7), true));
    let (route, member) =
        table.admit("ficu95.example:80", "/lohu930/2f", Some("k1")).expect("it is let in");
    assert_eq!((route.kind, route.urgency, route.attempts), (Kind::Streaming, Urgency(1), 1));
    assert_eq!((route.timeout, route.pause), (Duration::from_secs(39), Duration::from_millis(180)));
    assert_eq!(route.shares.iter().map(|s| s.weight).collect::<Vec<_>>(), [90, 10]);
    let member = member.expect("the key belongs to a workspace");
    assert_eq!((member.workspace.as_str(), member.urgency), ("huka270", Some(Urgency(1))));
    let engine =
        table.services[&"huvo11a".parse().expect("valid")].engine.clone().expect("it has engines");
    assert_eq!((engine.slots, engine.memory.0, engine.moves), (24, 34_272, true));
    assert_eq!(table.limits.idle, Duration::from_secs(15));
}

#[test]
fn the_longest_prefix_takes_a_path() {
    let table = parse_table(CONFIG).expect("it is a configuration");
    let kind = |path| table.find("FICU95.example", path).map(|r| r.kind);
    assert_eq!(kind("/lohu930/deep/x"), Some(Kind::Safe));
    assert_eq!(kind("/lohu930/x"), Some(Kind::Streaming));
    assert_eq!(kind("/lohu930"), None);
    assert_eq!(table.admit("other.example", "/lohu930/x", Some("k1")).err(), Some(Denied::Route));
    assert_eq!(table.admit("ficu95.example", "/lohu930/x", None).err(), Some(Denied::Key));
}

#[test]
fn settings_are_read_and_unknown_fields_skipped() {
    let settings = GatewaySettings::parse(SETTINGS).expect("they are settings");
    assert_eq!(settings.instance.as_str(), "front-uks-a-1");
    assert_eq!(
        (settings.memory_mb, settings.max_sockets, settings.stop_grace),
        (110, 3900, Duration::from_secs(8))
    );
    assert_eq!(settings.peer_address.map(|a| a.to_string()).as_deref(), Some("10.1.0.19:7200"));
}

#[rstest]
#[case::no_value("node=a\nnonsense\n", SettingsError::Line(2))]
#[case::nothing("", SettingsError::Missing("limits.max_fds"))]
#[case::no_number("limits.max_fds=many\n", SettingsError::Value("limits.max_fds", "many".into()))]
fn faults_of_settings_are_named(#[case] text: &str, #[case] want: SettingsError) {
    assert_eq!(GatewaySettings::parse(text), Err(want));
}

#[rstest]
#[case::ready("ready", Some(false))]
#[case::draining("draining", Some(true))]
#[case::unknown("paused", None)]
fn the_state_of_an_entry_decides_its_use(#[case] state: &str, #[case] want: Option<bool>) {
    let text = format!(
        r#"{{"service":"s","address":"10.0.0.1:80","zone":"z","slots":24,"state":"{state}","cold_remaining_ms":0}}"#
    );
    assert_eq!(parse_listing("servers/i-1", text.as_bytes()).map(|l| l.leaving), want);
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_refused_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = parse_listing("servers/i-1", &bytes);
        let _ = parse_table(&bytes);
        let _ = GatewaySettings::parse(&String::from_utf8_lossy(&bytes));
    }
}
