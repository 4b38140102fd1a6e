//! When the memory of the process is reported.

use rstest::rstest;
use skylarkthread::memory::{Release, Resident, Watch};
use std::time::{Duration, Instant};

const LIMIT: usize = 100_000_000;

#[rstest]
#[case::both("Name:\tx\nVmHWM:\t   3000 kB\nVmRSS:\t   2000 kB\n", Some((2_048_000, 3_072_000)))]
#[case::no_peak("VmRSS:\t 1 kB\n", Some((1024, 1024)))]
#[case::absent("Name:\tx\n", None)]
#[case::other_unit("VmRSS:\t 1 MB\n", None)]
#[case::no_number("VmRSS:\t kB\n", None)]
fn resident_memory_is_read_from_the_status_of_the_process(
    #[case] status: &str,
    #[case] expected: Option<(usize, usize)>,
) {
    assert_eq!(Resident::parse(status).map(|r| (r.now, r.peak)), expected);
}

#[test]
fn memory_near_its_limit_is_reported_at_intervals_and_as_it_grows() {
    let start = Instant::now();
    let mut watch = Watch::default();
    let reports: Vec<(u64, usize)> = [
        (0, 79_000_000),
        (1, 81_000_000),
        (2, 82_000_000),
        (3, 86_500_000),
        (4, 86_600_000),
        (12, 84_000_000),
        (13, 84_000_000),
        (20, 70_000_000),
        (23, 81_000_000),
    ]
    .into_iter()
    .filter(|(s, bytes)| watch.step(start + Duration::from_secs(*s), *bytes, LIMIT))
    .collect();
    assert_eq!(reports, [(1, 81_000_000), (3, 86_500_000), (13, 84_000_000), (23, 81_000_000)]);
}

/// Returns the seconds at which memory is returned, of resident and counted megabytes in each second.
fn releases(seconds: impl IntoIterator<Item = (usize, usize)>) -> Vec<usize> {
    let (mut release, start) = (Release::default(), Instant::now());
    let step = |(s, (resident, counted)): (u64, (usize, usize))| {
        let now = start + Duration::from_secs(s);
        release.step(now, resident * 1_000_000, counted * 1_000_000, LIMIT)
    };
    let due: Vec<bool> = (0..).zip(seconds).map(step).collect();
    (0..due.len()).filter(|n| due[*n]).collect()
}

#[test]
fn memory_is_returned_once_after_much_of_it_has_been_freed() {
    let counted = [0, 30, 28, 26, 24, 20, 20, 40, 36, 12, 0];
    assert_eq!(releases(counted.map(|mb| (20 + mb, mb))), [4, 9, 10]);
}

/// Memory that was freed after the sum had fallen stayed with the process.
#[test]
fn memory_that_is_kept_is_returned_again_less_and_less_often() {
    let late = [(60, 30), (60, 4), (40, 0), (31, 0), (31, 0), (24, 0), (24, 0)];
    assert_eq!(releases(late), [0, 1, 2, 4]);
    assert_eq!(releases([(60, 10); 200]), [0, 1, 3, 7, 15, 31, 63, 123, 183]);
}
