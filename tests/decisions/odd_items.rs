//! One odd item of a configuration, a listing, a report or a message costs no more than itself.

use actix_http::ServiceConfig;
use rstest::rstest;
use skylarkthread::gossip::{Digest, PeerMessage, StatementRow, StoreChanges, Tag};
use skylarkthread::id::DataCentre;
use skylarkthread::platform::{
    GatewaySettings, Identity, Probe, fetch_report, parse_listing, parse_table, probe,
};
use skylarkthread::pool::{Evacuation, Listing};
use skylarkthread::route::{RouteKind, Table};
use skylarkthread::store::{Era, KeyValue, Position};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

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

#[rstest]
#[case::half_an_emoji(r#""name":"\ud83d""#, 0)]
#[case::half_an_emoji_in_a_list(r#""tags":["\ud83d"]"#, 0)]
#[case::time_out_of_range(r#""timeout_ms":1e999"#, 1)]
#[case::deep(&format!(r#""x":{}{}"#, "[".repeat(100_000), "]".repeat(100_000)), 0)]
fn part_of_a_route_that_cannot_be_read_leaves_the_route(#[case] odd: &str, #[case] faults: usize) {
    let table = table_of(&format!(
        r#"{{"version":1,"routes":[{{"host":"h","prefix":"/","kind":"unsafe","service":"t"}},
            {{"host":"h","prefix":"/a/","kind":"safe","target_latency_ms":300,{odd},"service":"s"}}]}}"#
    ));
    let route = table.find_route("h", "/a/x").expect("there is a route");
    assert_eq!((&*route.prefix, route.kind), ("/a/", RouteKind::Safe));
    assert_eq!(route.services.len(), 1);
    let of_route = table.faults.iter().filter(|f| f.entry.as_ref() != "0");
    assert!(of_route.clone().count() >= faults, "{:?}", table.faults);
    assert!(of_route.into_iter().all(|f| !f.field.is_empty()), "{:?}", table.faults);
}

#[test]
fn key_that_cannot_be_read_leaves_the_other_keys_of_its_workspace() {
    let table = table_of(
        r#"{"version":1,"routes":[{"host":"h","prefix":"/","kind":"safe","service":"s"}],
            "tenants":[{"name":"a","api_keys":["\ud83d","k"]}]}"#,
    );
    assert!(table.authorize("h", "/", Some("k")).is_ok());
    assert!(table.faults.iter().any(|f| f.field == "api_keys"));
}

#[rstest]
#[case::number(r#"{"max_header_bytes":4096,"max_body_bytes":1e999,"idle_timeout_ms":3000}"#)]
#[case::text(r#"{"max_header_bytes":4096,"max_body_bytes":"\ud83d","idle_timeout_ms":3000}"#)]
fn limit_that_cannot_be_read_leaves_the_configuration(#[case] limits: &str) {
    let table = table_of(&format!(r#"{{"version":3,"limits":{limits}}}"#));
    assert_eq!((table.limits.max_head, table.version.0), (4096, 3));
    assert_eq!(table.limits.idle_timeout, Duration::from_secs(3));
    assert!(table.faults.iter().any(|f| f.field == "max_body_bytes"));
}

#[test]
fn listing_with_escaped_text_is_that_of_the_same_text() {
    let text = r#""service":"r&d","address":"10.0.0.1:80","zone":"a/b","slots":4"#;
    let escaped = r#""service":"r\u0026d","address":"10.0.0.1\u003a80","zone":"a\/b","slots":4"#;
    let known = listing_of(text).map(|l| (l.service, l.address, l.centre));
    assert!(known.is_some());
    assert_eq!(listing_of(escaped).map(|l| (l.service, l.address, l.centre)), known);
}

#[rstest]
#[case("8.0", "1796670000000", Some((8, Some(1_796_670_000_000))))]
#[case("8", "1.79667e12", Some((8, Some(1_796_670_000_000))))]
#[case("8", "null", Some((8, None)))]
#[case("8.5", "1", None)]
#[case("8", "\"1\"", None)]
fn whole_number_of_a_listing_may_have_a_point(
    #[case] slots: &str,
    #[case] born: &str,
    #[case] want: Option<(u32, Option<u64>)>,
) {
    let listing = listing_of(&format!(
        r#""service":"s","address":"10.0.0.1:80","zone":"z","slots":{slots},"born":{born}"#
    ));
    assert_eq!(listing.map(|l| (l.slots, l.started_ms)), want);
}

/// Answers one request with a body; returns the address of the server.
fn answer_once(headers: &str, body: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    let length = body.len();
    let answer = format!("HTTP/1.1 200 OK\r\n{headers}content-length: {length}\r\n\r\n{body}");
    std::thread::spawn(move || {
        let (mut io, _) = listener.accept().expect("a connection arrives");
        let _ = io.read(&mut [0; 4096]).expect("a request arrives");
        io.write_all(answer.as_bytes()).expect("the answer is sent");
    });
    address
}

const WAIT: Duration = Duration::from_secs(5);

#[rstest]
#[case::sound("", r#"{"state":"draining","leaves_ms":900}"#, Some((true, Some(900))))]
#[case::state_of_another_type("", r#"{"state":7,"leaves_ms":900}"#, Some((true, Some(900))))]
#[case::time_of_another_type("", r#"{"state":"draining","leaves_ms":"soon"}"#, Some((true, None)))]
#[case::time_alone_of_another_type("", r#"{"leaves_ms":"soon"}"#, Some((false, None)))]
#[case::odd_run("", r#"{"runs":[["\ud83d",1e999]],"state":"draining"}"#, Some((true, None)))]
#[case::header_alone("server-leaving: 1\r\n", "<html>", Some((true, None)))]
#[case::no_report("", "<html>", None)]
#[actix_rt::test]
async fn field_of_a_report_that_cannot_be_read_leaves_the_others(
    #[case] headers: &str,
    #[case] body: &str,
    #[case] want: Option<(bool, Option<u64>)>,
) {
    let report = fetch_report(answer_once(headers, body), &ServiceConfig::default(), WAIT).await;
    let read = report.ok().map(|r| (r.leaving, r.leaves_in.map(|t| t.as_millis() as u64)));
    assert_eq!(read, want);
}

#[rstest]
#[case("1796670000000", Some(1_796_670_000_000))]
#[case("1.79667e12", Some(1_796_670_000_000))]
#[case("\"early\"", None)]
#[actix_rt::test]
async fn start_time_of_a_report_may_have_a_point(#[case] born: &str, #[case] want: Option<u64>) {
    let to = answer_once("", &format!(r#"{{"born":{born},"running":1}}"#));
    let read = probe(to, &Probe::Report, &ServiceConfig::default(), WAIT).await;
    assert_eq!(read.ok(), Some(Identity { id: None, started_ms: want }));
}

fn change(key: &str, size: Option<usize>) -> KeyValue {
    KeyValue { key: key.into(), value: size.map(|n| vec![0; n]), revision: u64::MAX }
}

#[test]
fn changes_of_many_small_keys_fit_a_datagram() {
    let all: Vec<_> = (0..2000).map(|n| change(&format!("servers/{n}"), None)).collect();
    let changes = StoreChanges::of(all.iter());
    assert!(changes.truncated);
    let bytes = rmp_serde::to_vec_named(&PeerMessage::StoreChanges(changes));
    let size = bytes.expect("the message can be encoded").len();
    assert!(size < 16 << 10, "{size} bytes");
}

#[test]
fn large_change_does_not_hide_those_after_it() {
    let all = [change("servers/a", Some(60_000)), change("servers/b", Some(300))];
    let changes = StoreChanges::of(all.iter());
    assert!(changes.truncated, "the receiver has to read the large one");
    assert_eq!(changes.kvs, all[1..]);
}

#[test]
fn digest_of_thousands_of_endpoints_is_sent_in_datagrams() {
    const COUNT: u32 = 3000;
    /// Largest payload of a datagram, less the rest of the message.
    const MAX_BYTES: usize = 65_000;
    let tags = || (0..COUNT).map(|n| Tag::of(&format!("i-{n}").parse().expect("the id is valid")));
    let statement = |tag| StatementRow {
        tag,
        cold_ms: Some(u32::MAX),
        gone_ms: Some(u32::MAX),
        leaving: true,
        incarnation: Some(u16::MAX),
    };
    let evacuation = |n| Evacuation {
        centre: DataCentre::from_label(&format!("{n:0200}")).expect("the name is valid"),
        at: Position::new(Era(u64::MAX), u64::MAX),
        active: true,
    };
    let whole = Digest {
        full: true,
        rows: tags().map(|tag| (tag, u32::MAX, u32::MAX, u32::MAX, u32::MAX)).collect(),
        token_times: tags().map(|tag| (tag, u32::MAX)).collect(),
        pauses: tags().map(|tag| (tag, u32::MAX)).collect(),
        outcomes: tags().map(|tag| (tag, u16::MAX, u16::MAX)).collect(),
        evacuations: (0..COUNT).map(|n| (&evacuation(n)).into()).collect(),
        speeds: tags().map(|tag| (tag, u16::MAX, 1, 1, u32::MAX, 1)).collect(),
        statements: tags().map(statement).collect(),
        ..Digest::default()
    };
    let parts = whole.clone().into_parts();
    assert!(parts.iter().enumerate().all(|(ix, part)| part.full == (ix == 0)));
    let size = |part: &Digest| {
        let bytes = rmp_serde::to_vec_named(&PeerMessage::Digest(part.clone()));
        bytes.expect("the message can be encoded").len()
    };
    assert!(size(&whole) > MAX_BYTES);
    let largest = parts.iter().map(size).max();
    assert!(largest.is_some_and(|n| n < MAX_BYTES), "{largest:?} bytes");
    let mut joined = Digest { full: true, ..Digest::default() };
    for part in parts {
        joined.rows.extend(part.rows);
        joined.token_times.extend(part.token_times);
        joined.pauses.extend(part.pauses);
        joined.outcomes.extend(part.outcomes);
        joined.evacuations.extend(part.evacuations);
        joined.speeds.extend(part.speeds);
        joined.statements.extend(part.statements);
    }
    assert_eq!(joined, whole);
}

#[test]
fn version_that_is_none_is_quoted_in_its_error() {
    let config = br#"{"version":"a b\" event=999","routes":[],"services":[]}"#;
    let e = parse_table(config).map(drop).expect_err("the version is no number");
    assert_eq!(e.to_string(), r#"version "\"a b\\\" event=999\"" is no whole number"#);
}
