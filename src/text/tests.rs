//! Tests of parsing and validation.

use super::*;
use proptest::prelude::*;

fn faults(text: &str) -> String {
    let all = Text::parse(text).unwrap_err();
    all.iter().map(|f| format!("{f}\n")).collect()
}

#[test]
fn parse_reports_every_fault_with_line_and_column() {
    insta::assert_snapshot!(faults(include_str!("../../tests/data/faulty.jsonc")));
}

#[test]
fn syntax_error_reports_line_and_column() {
    insta::assert_snapshot!(faults("{\n  \"services\": {\n    \"a\" 1\n  }\n}"));
}

#[test]
fn examples_parse_and_dependencies_inherit_priority() {
    for text in [
        include_str!("../../examples/vigilwell.jsonc"),
        include_str!("../../examples/offer-ffilm.jsonc"),
    ] {
        let text = Text::parse(text).unwrap();
        let order = text.dependency_order();
        assert_eq!(order.len(), text.services.len());
        for (name, s) in &text.services {
            for d in &s.dependencies {
                assert!(
                    text.effective_priority(d) >= s.priority,
                    "priority of {d} is below that of its dependent {name}"
                );
            }
        }
    }
}

proptest! {
    #[test]
    fn parse_never_panics_on_arbitrary_text(s in ".{0,200}") {
        let _ = Text::parse(&s);
    }

    #[test]
    fn parse_never_panics_on_truncated_text(n in 0usize..4000) {
        let whole = include_str!("../../examples/vigilwell.jsonc");
        let n = (0..=n.min(whole.len())).rev().find(|n| whole.is_char_boundary(*n)).unwrap();
        let _ = Text::parse(&whole[..n]);
    }
}

#[test]
fn excess_depth_is_reported_at_its_column_ignoring_strings_and_comments() {
    let depth = crate::jsonc::MAX_DEPTH;
    for open in ["[", "{\"a\":"] {
        let faults = Text::parse(&open.repeat(200_000)).unwrap_err();
        assert_eq!((faults.len(), faults[0].kind.code()), (1, 16));
        assert_eq!(faults[0].column, depth * open.len() + 1);
    }
    let quoted = format!(
        "{{ // {}\n /* {} */ \"services\": {{}}, \"{}\": 1 }}",
        "[".repeat(99),
        "{".repeat(99),
        "[".repeat(99)
    );
    let faults = Text::parse(&quoted).unwrap_err();
    assert!(faults.iter().all(|f| f.kind.code() != 16), "{faults:?}");
}
