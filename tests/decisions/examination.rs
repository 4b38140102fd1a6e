//! Whether an endpoint whose connection broke has crashed, as looks at it tell.

use rstest::rstest;
use skylarkthread::quarantine::{Break, Examination, Listed, Look, Next, Sight, Verdict};
use std::time::{Duration, Instant};

/// Looks at an endpoint that shows these sights one after the other, the last one for good; returns the
/// outcome and the number of looks.
fn examine(cause: Break, listed: Listed, sights: &[Sight]) -> (Verdict, usize) {
    let (mut now, mut examination) = (Instant::now(), Examination::default());
    for n in 0.. {
        let (began, sight) = (now, sights[n.min(sights.len() - 1)]);
        now += Duration::from_millis(if sight == Sight::Silent { 300 } else { 5 });
        match examination.record(now, Look { began, sight, listed, cause }) {
            Next::Look(after) => now += after,
            Next::Done(verdict) => return (verdict, n + 1),
        }
    }
    unreachable!("an examination ends")
}

#[rstest]
#[case::refuses(Break::Closed, Listed::Same, &[Sight::Refused], Verdict::Crashed, 1)]
#[case::closes_twice(Break::Closed, Listed::Same, &[Sight::Closed], Verdict::Crashed, 2)]
#[case::was_full_for_a_moment(Break::Closed, Listed::Same, &[Sight::Closed, Sight::Responding], Verdict::Serving, 2)]
#[case::closes_and_then_refuses(Break::Closed, Listed::Same, &[Sight::Closed, Sight::Refused], Verdict::Crashed, 2)]
#[case::has_come_back(Break::Closed, Listed::Same, &[Sight::Silent, Sight::Restarted], Verdict::Crashed, 2)]
#[case::does_not_respond(Break::Closed, Listed::Same, &[Sight::Silent], Verdict::Crashed, 3)]
#[case::is_cut_off(Break::Unreachable, Listed::Same, &[Sight::Silent], Verdict::Unknown, 3)]
#[case::is_cut_off_and_not_listed(Break::Unreachable, Listed::Gone, &[Sight::Silent], Verdict::Crashed, 3)]
#[case::leaves_and_serves_on(Break::Ended, Listed::Gone, &[Sight::Responding], Verdict::Serving, 1)]
#[case::response_ended_and_it_does_not_respond(Break::Ended, Listed::Same, &[Sight::Silent], Verdict::Unknown, 3)]
#[case::is_listed_in_another_start(Break::Closed, Listed::Restarted, &[Sight::Responding], Verdict::Crashed, 1)]
#[case::sends_no_response(Break::Closed, Listed::Same, &[Sight::Unclear], Verdict::Unknown, 6)]
#[case::sends_no_response_and_is_not_listed(Break::Closed, Listed::Gone, &[Sight::Unclear], Verdict::Unknown, 6)]
#[case::sends_no_response_at_first(Break::Closed, Listed::Same, &[Sight::Unclear, Sight::Responding], Verdict::Serving, 2)]
#[case::sends_no_response_and_then_refuses(Break::Closed, Listed::Same, &[Sight::Unclear, Sight::Refused], Verdict::Crashed, 2)]
#[case::sends_no_response_from_a_new_start(Break::Closed, Listed::Same, &[Sight::Unclear, Sight::Restarted], Verdict::Crashed, 2)]
#[case::serves(Break::Closed, Listed::Same, &[Sight::Responding], Verdict::Serving, 1)]
fn examination_tells_a_crash_from_a_broken_connection(
    #[case] cause: Break,
    #[case] listed: Listed,
    #[case] sights: &[Sight],
    #[case] verdict: Verdict,
    #[case] looks: usize,
) {
    assert_eq!(examine(cause, listed, sights), (verdict, looks));
}
