//! How long the store may take to answer, by its answers so far.

use rstest::rstest;
use skylarkthread::store::Patience;
use std::time::Duration;

const LIMIT: Duration = Duration::from_millis(600);
const SLOW: Duration = Duration::from_secs(3);

fn slow_store() -> Patience {
    let mut patience = Patience::default();
    patience.record_answer(SLOW);
    patience
}

#[test]
fn prompt_store_that_is_silent_gets_no_more_time() {
    let mut patience = Patience::default();
    for _ in 0..100 {
        patience.record_answer(Duration::from_millis(20));
        assert_eq!((patience.limit(LIMIT), patience.is_silent()), (LIMIT, false));
        patience.record_timeout(LIMIT);
        assert_eq!((patience.limit(LIMIT), patience.is_silent()), (LIMIT, true));
    }
}

#[test]
fn slow_store_gets_time_for_each_answer_also_after_one_was_lost() {
    let mut patience = Patience::default();
    for _ in 0..10 {
        patience.record_answer(SLOW);
        patience.record_timeout(LIMIT);
        patience.record_timeout(patience.limit(LIMIT));
        assert!(patience.limit(LIMIT) > SLOW, "{patience:?}");
    }
}

#[rstest]
#[case::prompt_again(|p: &mut Patience| p.record_answer(Duration::from_millis(5)))]
#[case::silent(|p: &mut Patience| p.record_timeout(p.limit(LIMIT)))]
fn store_that_is_no_longer_slow_gets_the_usual_time_again(#[case] record: fn(&mut Patience)) {
    let mut patience = slow_store();
    (0..8).for_each(|_| record(&mut patience));
    assert_eq!(patience.limit(LIMIT), LIMIT);
}

#[test]
fn answer_of_any_time_leaves_the_limit_bounded() {
    let mut patience = Patience::default();
    patience.record_answer(Duration::MAX);
    assert!(patience.limit(Duration::ZERO) <= Duration::from_secs(10), "{patience:?}");
    assert_eq!(patience.limit(Duration::MAX), Duration::MAX);
}
