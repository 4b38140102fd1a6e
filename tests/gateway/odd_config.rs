//! Tests that an odd field of the configuration costs no more than what it belongs to.

use crate::common::{CONFIG, list_endpoint, send_request, start_gateway, wait_for};
use rstest::rstest;
use standin::platform::{Action, Endpoint, Gateway, Store};

fn start_with(text: &str) -> (Endpoint, Store, Gateway) {
    let e = Endpoint::start("i-1", Action::Respond(200, "fine".into()));
    let store = Store::start();
    list_endpoint(&store, &e, "plain", "ready");
    store.set("op/config", Some(text.as_bytes()));
    let gateway = start_gateway(&store);
    (e, store, gateway)
}

#[rstest]
#[case::version_with_a_point("\"version\":7,", "\"version\":7.0,", 200)]
#[case::first_version_is_zero("\"version\":7,", "\"version\":0,", 200)]
#[case::another_route_without_a_target("\"target_latency_ms\":1500,", "", 200)]
#[case::another_route_without_a_host("\"name\":\"r2\",\"host\":\"app.example\",", "", 200)]
#[case::another_route_is_no_object("\"routes\":[", "\"routes\":[7,", 200)]
#[case::no_target("\"target_latency_ms\":300,\"priority\"", "\"priority\"", 200)]
#[case::time_is_text("\"timeout_ms\":800", "\"timeout_ms\":\"soon\"", 200)]
#[case::priority_is_too_large("\"priority\":2", "\"priority\":2000", 200)]
#[case::public_is_text("\"public\":true", "\"public\":\"yes\"", 200)]
#[case::unknown_kind("\"kind\":\"safe\"", "\"kind\":\"sealed\"", 200)]
#[case::kind_is_a_number("\"kind\":\"safe\"", "\"kind\":1", 200)]
#[case::service_is_a_number("\"service\":\"plain\",\"max_attempts\":2", "\"service\":4", 503)]
#[case::no_connections("\"max_connections\":50", "\"max_connections\":null", 200)]
#[case::unreadable_engine("\"slots\":8", "\"slots\":\"many\"", 200)]
#[case::nameless_service("\"name\":\"model\"", "\"name\":{}", 200)]
#[case::limit_is_text("\"max_body_bytes\":100000", "\"max_body_bytes\":\"few\"", 200)]
#[case::no_header_limit("\"max_header_bytes\":4096,", "", 200)]
#[case::unreadable_other_key("\"key-2\"", "[]", 200)]
#[case::nameless_other_tenant("\"name\":\"other\",", "", 200)]
#[case::unreadable_own_key("\"key-1\"", "1", 401)]
#[case::tenants_are_null("\"tenants\":[", "\"tenants\":null,\"former\":[", 401)]
#[case::tenants_are_text("\"tenants\":[", "\"tenants\":\"none\",\"former\":[", 401)]
fn odd_field_does_not_keep_an_instance_from_serving(
    #[case] old: &str,
    #[case] new: &str,
    #[case] status: u16,
) {
    assert!(CONFIG.contains(old));
    let (_e, store, gateway) = start_with(&CONFIG.replace(old, new));
    assert!(wait_for(5, || gateway.readiness() == 200), "not ready within 5 s");
    assert_eq!(send_request(&gateway, "GET", "/safe/x", "id-1").status, status);
    // What is sound again is in force again.
    store.set("op/config", Some(CONFIG.replace("\"version\":7", "\"version\":9").as_bytes()));
    assert!(wait_for(4, || send_request(&gateway, "GET", "/safe/x", "id-2").status == 200));
}

#[rstest]
#[case::no_json("{\"version\":8")]
#[case::no_version("{\"routes\":[]}")]
#[case::fraction_of_a_version("{\"version\":8.5,\"routes\":[]}")]
#[case::routes_are_no_list("{\"version\":8,\"routes\":{}}")]
#[case::services_are_no_list("{\"version\":8,\"services\":4}")]
fn unreadable_configuration_leaves_the_one_in_force(#[case] text: &str) {
    let (_e, store, gateway) = start_with(CONFIG);
    assert!(wait_for(5, || gateway.readiness() == 200), "not ready within 5 s");
    store.set("op/config", Some(text.as_bytes()));
    let log = gateway.settings_file.with_extension("log");
    let log = || std::fs::read_to_string(&log).unwrap_or_default();
    assert!(wait_for(4, || log().contains("event=504 kind=TableRefused")), "{}", log());
    assert_eq!(send_request(&gateway, "GET", "/safe/x", "id-1").status, 200);
}
