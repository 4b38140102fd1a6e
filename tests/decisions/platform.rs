//! Tests the parsers of the platform adapter with data in the platform's form and with invalid
//! data.

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::test::TestRequest;
use actix_http::{ResponseHead, StatusCode};
use proptest::prelude::*;
use rstest::rstest;
use skylarkthread::h1::Head;
use skylarkthread::platform::{
    GatewaySettings, SettingsError, parse_listing, parse_request, parse_response, parse_table,
};
use skylarkthread::route::{Denied, RouteKind, Table, TableVersion, Urgency};
use skylarkthread::speed::Slowness;
use std::time::{Duration, Instant};

const CONFIG: &[u8] = include_bytes!("../data/platform/config.json");
const SETTINGS: &str = include_str!("../data/platform/settings.conf");

#[test]
fn configuration_is_parsed_into_routes_services_and_keys() {
    let table = parse_table(CONFIG).expect("configuration not parsed");
    assert_eq!((table.version, table.requires_key), (TableVersion(7), true));
    let (route, key_owner) = table
        .authorize("ficu95.example:80", "/lohu930/2f", Some("k1"))
        .expect("request not admitted");
    assert_eq!(
        (route.kind, route.urgency, route.max_attempts),
        (RouteKind::Streaming, Urgency(1), 1)
    );
    assert_eq!(
        (route.timeout, route.max_gap),
        (Duration::from_secs(39), Duration::from_millis(180))
    );
    assert_eq!(route.services.iter().map(|s| s.weight).collect::<Vec<_>>(), [90, 10]);
    let key_owner = key_owner.expect("key without workspace");
    assert_eq!((key_owner.workspace.as_str(), key_owner.urgency), ("huka270", Some(Urgency(1))));
    let engine = table.services[&"huvo11a".parse().expect("invalid service name")]
        .engine
        .clone()
        .expect("service without engine");
    assert_eq!((engine.slots, engine.kv_capacity.0, engine.can_migrate), (24, 34_272, true));
    assert_eq!(table.limits.idle_timeout, Duration::from_secs(15));
}

#[test]
fn longest_matching_prefix_selects_route() {
    let table = parse_table(CONFIG).expect("configuration not parsed");
    let kind = |path| table.find_route("FICU95.example", path).map(|r| r.kind);
    assert_eq!(kind("/lohu930/deep/x"), Some(RouteKind::Safe));
    assert_eq!(kind("/lohu930/x"), Some(RouteKind::Streaming));
    assert_eq!(kind("/lohu930"), None);
    assert_eq!(
        table.authorize("other.example", "/lohu930/x", Some("k1")).err(),
        Some(Denied::Route)
    );
    assert_eq!(table.authorize("ficu95.example", "/lohu930/x", None).err(), Some(Denied::Key));
}

/// A configuration of two routes, of which the one with the longer prefix has a field of its own.
fn table_with(field: &str) -> Table {
    let fields = [
        r#""kind":"safe""#,
        r#""timeout_ms":800"#,
        r#""target_latency_ms":300"#,
        r#""service":"s""#,
        r#""max_attempts":3"#,
        r#""public":true"#,
    ];
    let name = field.split(':').next().expect("a field has a name");
    let rest: Vec<_> = fields.into_iter().filter(|f| !f.starts_with(name)).collect();
    let text = format!(
        r#"{{"version":1,"routes":[
            {{"host":"h","prefix":"/","kind":"safe","timeout_ms":800,"target_latency_ms":300,"service":"s"}},
            {{"host":"h","prefix":"/a/",{},{field}}}],"tenants":[]}}"#,
        rest.join(",")
    );
    parse_table(text.as_bytes()).expect("it is a configuration")
}

#[rstest]
#[case(r#""kind":"sealed""#)]
#[case(r#""kind":["safe"]"#)]
#[case(r#""max_attempts":-3"#)]
#[case(r#""max_attempts":2.5"#)]
#[case(r#""public":1"#)]
#[case(r#""service":{"name":"s"}"#)]
#[case(r#""service":"""#)]
#[case(r#""traffic_split":"all""#)]
#[case(r#""traffic_split":[{"service":"t"},{"service":"s","weight":-1}]"#)]
#[case(r#""timeout_ms":-1"#)]
#[case(r#""target_latency_ms":"300""#)]
fn odd_field_of_a_route_permits_no_more_than_without_it(#[case] field: &str) {
    let table = table_with(field);
    let route = table.find_route("h", "/a/x").expect("the route is there");
    assert_eq!(&*route.prefix, "/a/", "the route of a shorter prefix is used");
    assert_eq!(route.kind == RouteKind::Unsafe, field.contains("kind"));
    assert_eq!(route.kind == RouteKind::Safe, !field.contains("kind"));
    let is_split = field.contains("split");
    assert_eq!(route.services.is_empty(), is_split || field.contains("service"));
    assert_eq!(route.max_attempts, if field.contains("attempts") { 1 } else { 3 });
    assert_eq!(route.is_keyless, !field.contains("public"));
    assert!(route.timeout >= Duration::from_millis(800));
    assert!(!table.faults.is_empty());
    assert!(table.faults.iter().all(|f| &*f.entry == "1" && f.place == "routes"));
}

#[rstest]
#[case("null")]
#[case("7")]
#[case("[7]")]
#[case(r#"[{"name":"a\nb","api_keys":["k"]}]"#)]
#[case(r#"[{"name":" a","api_keys":["k"]}]"#)]
#[case(r#"[{"name":"","api_keys":["k"]}]"#)]
#[case(r#"[{"api_keys":["k"]}]"#)]
#[case(r#"[{"name":"a","api_keys":"k"}]"#)]
#[case(r#"[{"name":"a","api_keys":[["k"],7,null]}]"#)]
fn keys_that_cannot_be_read_admit_nobody(#[case] tenants: &str) {
    let text = format!(
        r#"{{"version":1,"routes":[{{"host":"h","prefix":"/","kind":"safe","service":"s"}}],"tenants":{tenants}}}"#
    );
    let table = parse_table(text.as_bytes()).expect("it is a configuration");
    for key in [None, Some("k"), Some("7"), Some("")] {
        assert_eq!(table.authorize("h", "/x", key).err(), Some(Denied::Key));
    }
}

#[test]
fn settings_are_parsed_and_unknown_fields_ignored() {
    let settings = GatewaySettings::parse(SETTINGS).expect("settings not parsed");
    assert_eq!(settings.instance.as_str(), "front-uks-a-1");
    assert_eq!(
        (settings.memory_mb, settings.max_sockets, settings.stop_grace),
        (110, 3900, Duration::from_secs(8))
    );
    assert_eq!(settings.peer_address.map(|a| a.to_string()).as_deref(), Some("10.1.0.19:7200"));
}

#[rstest]
#[case::missing_equals_sign("node=a\nnonsense\n", SettingsError::Line(2))]
#[case::empty_file("", SettingsError::Missing("limits.max_fds"))]
#[case::not_a_number("limits.max_fds=many\n", SettingsError::Value("limits.max_fds", "many".into()))]
fn invalid_settings_return_the_faulty_field(#[case] text: &str, #[case] want: SettingsError) {
    assert_eq!(GatewaySettings::parse(text), Err(want));
}

/// Values of the valid settings, and what faulty ones are replaced by.
#[rstest]
#[case::fraction("max_fds=4100", "max_fds=4100.0", None, 3900, 110, 8)]
#[case::blanks("\nlimits.max_fds=4100", "\n limits.max_fds =  4100 ", None, 3900, 110, 8)]
#[case::no_limits("limits.m", "no.m", Some("limits.max_fds is missing"), 824, 110, 8)]
#[case::zero(
    "memory_mb=110",
    "memory_mb=0",
    Some("limits.memory_mb has the invalid value \"0\""),
    3900,
    110,
    8
)]
#[case::infinite(
    "memory_mb=110",
    "memory_mb=inf",
    Some("limits.memory_mb has the invalid value \"inf\""),
    3900,
    110,
    8
)]
#[case::long_grace(
    "grace_s=8",
    "grace_s=1e18",
    Some("bounds.grace_s has the invalid value \"1000000000000000000: over 86400\""),
    3900,
    110,
    4
)]
#[case::no_grace(
    "bounds.grace_s=8",
    "bounds.grace_s",
    Some("line N is not of the form name=value"),
    3900,
    110,
    4
)]
fn settings_with_faulty_fields_have_defaults(
    #[case] old: &str,
    #[case] new: &str,
    #[case] fault: Option<&str>,
    #[case] max_sockets: u32,
    #[case] memory_mb: u32,
    #[case] grace_secs: u64,
) {
    let reading = GatewaySettings::read(&SETTINGS.replace(old, new), None);
    let first = reading.faults.first().map(|f| match f {
        SettingsError::Line(_) => "line N is not of the form name=value".to_owned(),
        fault => fault.to_string(),
    });
    assert_eq!(first.as_deref(), fault);
    assert_eq!(reading.is_sound(), fault.is_none());
    let settings = reading.settings.expect("settings to serve with");
    assert_eq!(
        (settings.max_sockets, settings.memory_mb, settings.stop_grace),
        (max_sockets, memory_mb, Duration::from_secs(grace_secs))
    );
}

#[test]
fn reloaded_settings_with_faulty_fields_keep_the_known_values() {
    let known = GatewaySettings::parse(SETTINGS).expect("settings not parsed");
    let text = SETTINGS.replace("max_fds=4100", "max_fds=many").replace("grace_s=8", "grace_s=");
    let reading = GatewaySettings::read(&text, Some(&known));
    assert_eq!((reading.faults.len(), reading.settings), (2, Some(known)));
}

#[test]
fn settings_cut_off_anywhere_are_never_taken_for_others() {
    let whole = GatewaySettings::parse(SETTINGS).expect("settings not parsed");
    for n in 0..SETTINGS.len() {
        let reading = GatewaySettings::read(&SETTINGS[..n], None);
        let is_sound = reading.is_sound();
        assert!(!is_sound || reading.settings.as_ref() == Some(&whole), "cut after {n} bytes");
    }
}

#[rstest]
#[case::ready("ready", Some(false))]
#[case::draining("draining", Some(true))]
#[case::unknown("paused", None)]
fn entry_state_decides_whether_endpoint_is_leaving(
    #[case] state: &str,
    #[case] want: Option<bool>,
) {
    let text = format!(
        r#"{{"service":"s","address":"10.0.0.1:80","zone":"z","slots":24,"state":"{state}","cold_remaining_ms":0}}"#
    );
    assert_eq!(parse_listing("servers/i-1", text.as_bytes()).map(|l| l.leaving), want);
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = parse_listing("servers/i-1", &bytes);
        let _ = parse_table(&bytes);
        let _ = GatewaySettings::parse(&String::from_utf8_lossy(&bytes));
    }
}

/// Returns texts of numbers, most of them near the limits of what is a time.
fn number_text() -> impl Strategy<Value = String> {
    let edge = prop::sample::select(vec![
        "18446744073709551615",
        "1.8446744073709550e19",
        "1.8446744073709552e19",
        "1.8446744073709550e22",
        "9.3e21",
        "1e308",
        "1e-320",
        "-0",
        "-1",
        "NaN",
        "inf",
    ]);
    let edge = edge.prop_map(str::to_owned);
    let any = any::<u64>().prop_map(|bits| f64::from_bits(bits).to_string());
    prop_oneof![edge, any, "[-+0-9.eE]{0,24}"]
}

/// Returns whether a time may be added to the present several times, and extended.
fn is_bounded(time: Duration) -> bool {
    time.checked_mul(8).and_then(|t| Instant::now().checked_add(t)).is_some()
}

proptest! {
    #[test]
    fn times_in_heads_fit_the_clock(text in number_text()) {
        let mut head = ResponseHead::new(StatusCode::SERVICE_UNAVAILABLE);
        for name in ["retry-after", "x-cold-ms", "server-limit", "x-replica-load"] {
            let value = HeaderValue::from_str(&text).expect("the text is valid");
            head.headers_mut().insert(HeaderName::from_static(name), value);
        }
        let info = parse_response(&head);
        prop_assert!(info.pause.into_iter().chain(info.cold).all(is_bounded));
        let req = TestRequest::default().insert_header(("x-deadline-ms", text.as_str())).finish();
        prop_assert!(parse_request(&Head::new(&req)).timeout.into_iter().all(is_bounded));
    }

    #[test]
    fn times_of_settings_fit_the_clock(text in number_text()) {
        for field in ["bounds.grace_s", "bounds.budget_window_s"] {
            let changed = |line: &str| match line.split_once('=') {
                Some((name, _)) if name == field => format!("{field}={text}\n"),
                _ => format!("{line}\n"),
            };
            let changed: String = SETTINGS.lines().map(changed).collect();
            if let Ok(settings) = GatewaySettings::parse(&changed) {
                prop_assert!(is_bounded(settings.stop_grace));
                prop_assert!(is_bounded(settings.retry_terms.window));
            }
        }
    }

    #[test]
    fn times_of_a_configuration_and_a_listing_fit_the_clock(number: f64) {
        let limits = format!(
            r#""limits":{{"max_header_bytes":1,"max_body_bytes":1,"header_timeout_ms":{number:e},"idle_timeout_ms":{number:e}}}"#
        );
        let route = format!(
            r#"{{"host":"h","prefix":"/","kind":"safe","timeout_ms":{number:e},"target_latency_ms":{number:e},"gap_target_ms":{number:e},"service":"s"}}"#
        );
        let text = format!(r#"{{"version":1,"routes":[{route}],{limits}}}"#);
        if let Ok(table) = parse_table(text.as_bytes()) {
            prop_assert!(is_bounded(table.limits.arrival_timeout));
            prop_assert!(is_bounded(table.limits.idle_timeout));
            for route in table.hosts.values().flatten() {
                let times = [route.timeout, route.target_latency, route.max_gap];
                prop_assert!(times.into_iter().all(is_bounded));
            }
        }
        let listing = format!(
            r#"{{"service":"s","address":"10.0.0.1:80","zone":"z","slots":1,"state":"ready","cold_remaining_ms":{number:e}}}"#
        );
        let listing = parse_listing("servers/i-1", listing.as_bytes());
        prop_assert!(listing.and_then(|l| l.warmup).into_iter().all(is_bounded));
    }
}

#[rstest]
#[case("3,0,8", Some((3, 0, None)))]
#[case("3, 1, 8, 250", Some((3, 1, Some(250))))]
#[case("3,1,8,fast", Some((3, 1, None)))]
#[case("3", None)]
fn load_of_response_may_state_how_long_work_takes(
    #[case] text: &str,
    #[case] expected: Option<(u32, u32, Option<u32>)>,
) {
    let mut head = ResponseHead::new(StatusCode::OK);
    let value = HeaderValue::from_str(text).expect("the text is valid");
    head.headers_mut().insert(HeaderName::from_static("x-replica-load"), value);
    let load = parse_response(&head).load;
    let found = load.map(|l| (l.running, l.waiting, l.slowness.map(Slowness::percent)));
    assert_eq!(found, expected);
}
