//! Text from outside as it is written into lines and targets.

use rstest::rstest;
use skylarkthread::escape::{line, log_value, path_segment, target};
use skylarkthread::event::{EventRing, Filter, Kind};
use std::time::Duration;

#[rstest]
#[case::id("9c41d07be2a35f68", "9c41d07be2a35f68")]
#[case::address("10.1.0.58:8323", "10.1.0.58:8323")]
#[case::parts("00a1+00b2", "00a1+00b2")]
#[case::name("süd-1", "süd-1")]
#[case::empty("", r#""""#)]
#[case::blank("a b", r#""a b""#)]
#[case::pair("a=b", r#""a=b""#)]
#[case::quote("a\"b", r#""a\"b""#)]
#[case::backslash(r"a\nb", r#""a\\nb""#)]
#[case::new_line("a\nevent=100", r#""a\nevent=100""#)]
#[case::terminal("\u{1b}[2J", r#""\u{1b}[2J""#)]
#[case::direction("a\u{202e}b", r#""a\u{202e}b""#)]
fn value_of_a_line_is_quoted_where_it_would_be_read_as_another(
    #[case] text: &str,
    #[case] written: &str,
) {
    assert_eq!(log_value(text).to_string(), written);
}

#[rstest]
#[case::usual(r#"why="a \"b\"" n=1 name=süd"#, r#"why="a \"b\"" n=1 name=süd"#)]
#[case::ends("a\nb\r\nc", r"a\nb\r\nc")]
#[case::separators("a\u{85}b\u{2028}c", r"a\u{85}b\u{2028}c")]
#[case::controls("a\tb\0c\u{7f}", r"a\tb\0c\u{7f}")]
fn line_has_no_character_that_ends_it(#[case] text: &str, #[case] written: &str) {
    assert_eq!(line(text), written);
}

#[rstest]
#[case("h-1.a_b~c:d@e=f+g", "h-1.a_b~c:d@e=f+g")]
#[case("../x?y#z", "..%2Fx%3Fy%23z")]
#[case("50%\r\nä", "50%25%0D%0A%C3%A4")]
fn value_stays_within_its_segment_of_a_path(#[case] text: &str, #[case] written: &str) {
    assert_eq!(path_segment(text).to_string(), written);
}

#[rstest]
#[case("/healthz?full=1&of=%2Fa", "/healthz?full=1&of=%2Fa")]
#[case("healthz", "/healthz")]
#[case("/a b\"<ä>#c", "/a%20b%22%3C%C3%A4%3E%23c")]
#[case("", "/")]
fn path_that_somebody_wrote_is_a_target(#[case] text: &str, #[case] written: &str) {
    assert_eq!(target(text), written);
}

/// The quotes that begin in a detail also end in it, wherever it is cut.
#[test]
fn detail_that_is_cut_off_closes_its_quotes() {
    let mut ring = EventRing::new("a".parse().expect("the name is valid"));
    for lead in 0..20 {
        let why = "\u{1}\"\n ä".repeat(200);
        ring.push(Duration::ZERO, Kind::Failed, "s", &format!("{}why={why:?}", "x".repeat(lead)));
        let kept = ring.select(&Filter::default(), 1).remove(0);
        let quoted = kept.detail.split_once('=').expect("the name is kept").1;
        let read: String = serde_json::from_str(&quoted.replace("\\u{1}", "\\u0001"))
            .unwrap_or_else(|e| panic!("{e}: {quoted}"));
        assert!(why.starts_with(&read) && read.len() > 100, "{quoted}");
    }
}

#[test]
fn event_of_the_timeline_is_one_line() {
    let mut ring = EventRing::new("a".parse().expect("the name is valid"));
    ring.push(Duration::ZERO, Kind::Failed, "s\n1", "why=a\u{1b}[2J\nb");
    let shown = ring.select(&Filter::default(), 1)[0].to_string();
    assert!(shown.ends_with(r#" 702 Failed "s\n1" why=a\u{1b}[2J\nb"#), "{shown}");
}
