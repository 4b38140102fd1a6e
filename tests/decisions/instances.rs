//! The platform's instance list, with entries of other writers.

use rstest::rstest;
use skylarkthread::store::{ListedInstance, parse_instances};

const SOUND: &str = r#"{"instance":"n-1","role":"endpoint","centre":"north","peer":"127.0.0.1:7000","state":"live"}"#;

fn parse(list: &str) -> Vec<ListedInstance> {
    parse_instances(list.as_bytes()).expect("the body is a list")
}

#[rstest]
#[case::port(SOUND.replace("7000", "70000"))]
#[case::number(SOUND.replace('}', ",\"weight\":1e999,\"state\":1e999}"))]
#[case::state(SOUND.replace("live", "resting"))]
#[case::name(SOUND.replace("n-1", r"n-1\nevent=113 \u001b[2J"))]
#[case::no_name(SOUND.replace("n-1", ""))]
#[case::centre(SOUND.replace("north", "a/b"))]
#[case::other_type("[7]".to_owned())]
#[case::deep("[".repeat(100_000) + &"]".repeat(100_000))]
#[case::deep_field(SOUND.replace("\"live\"", &("[".repeat(100_000) + &"]".repeat(100_000))))]
fn odd_entry_of_the_instance_list_hides_no_other(#[case] odd: String) {
    let sound = parse(&format!("[{SOUND}]"));
    assert_eq!(sound.len(), 1);
    assert_eq!(parse(&format!("[{odd},{SOUND}]")), sound);
}
