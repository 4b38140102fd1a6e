//! Runs the scenario files, which list commands with their expected results.

mod scenario;

use datadriven::{TestCase, walk};

/// Runs each file of a folder with a new state.
fn run<S, H>(folder: &str, new: S, handle: H)
where
    S: Fn() -> H,
    H: FnMut(&TestCase) -> String,
{
    drop(handle);
    walk(&format!("tests/data/scenarios/{folder}"), |f| {
        let mut handle = new();
        f.run(|case| handle(case));
    });
}

macro_rules! scenarios {
    ($($name:ident),*) => {
        $(#[test]
        fn $name() {
            let new = || {
                let mut state = scenario::$name::State::default();
                move |case: &TestCase| state.run(case)
            };
            run(stringify!($name), new, new());
        })*
    };
}

scenarios!(gate, once, quarantine, member, eject, lead);
