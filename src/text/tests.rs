//! Tests of this module.

use super::*;
use proptest::prelude::*;

fn faults(text: &str) -> String {
    let all = Text::parse(text).unwrap_err();
    all.iter().map(|f| format!("{f}\n")).collect()
}

#[test]
fn a_text_with_many_faults_reports_each_with_its_place() {
    insta::assert_snapshot!(faults(include_str!("../../tests/data/faulty.jsonc")));
}

#[test]
fn syntax_faults_have_a_place() {
    insta::assert_snapshot!(faults("{\n  \"services\": {\n    \"a\" 1\n  }\n}"));
}

#[test]
fn the_examples_are_accepted_and_rank_dependencies() {
    for text in [
        include_str!("../../examples/vigilwell.jsonc"),
        include_str!("../../examples/offer-ffilm.jsonc"),
    ] {
        let text = Text::parse(text).unwrap();
        let order = text.dependency_order();
        assert_eq!(order.len(), text.services.len());
        for (name, s) in &text.services {
            for d in &s.dependencies {
                assert!(text.effective_priority(d) >= s.priority, "{d} ranks below {name}");
            }
        }
    }
}

proptest! {
    #[test]
    fn any_text_is_read_or_refused_without_a_panic(s in ".{0,200}") {
        let _ = Text::parse(&s);
    }

    #[test]
    fn any_cut_of_a_text_is_read_or_refused_without_a_panic(n in 0usize..4000) {
        let whole = include_str!("../../examples/vigilwell.jsonc");
        let n = (0..=n.min(whole.len())).rev().find(|n| whole.is_char_boundary(*n)).unwrap();
        let _ = Text::parse(&whole[..n]);
    }
}

#[test]
fn a_deep_text_is_refused_at_its_place_and_brackets_in_strings_do_not_count() {
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
