//! Stop of a daemon whose work does not end.

use crate::common::*;
use rstest::rstest;
use standin::fleet::{Daemon, Fleet, Plan};
use std::time::Duration;

/// Time from the signal to stop until the process has to be gone.
const GRACE: Duration = Duration::from_secs(2);
/// Tokens of a generation that takes longer than [`GRACE`].
const MANY_TOKENS: u32 = 1500;

fn entry(fleet: &mut Fleet) -> &mut Daemon {
    &mut fleet.entries[0].daemon
}

fn sidecar(fleet: &mut Fleet) -> &mut Daemon {
    &mut fleet.endpoints[0].sidecar
}

/// Starts a daemon again with [`GRACE`] in its settings.
fn restart_with_grace(daemon: &mut Daemon) {
    daemon.kill();
    let text = std::fs::read_to_string(&daemon.settings).expect("the file is there");
    let grace = format!("\"stop_grace_s\":{},\"store\"", GRACE.as_secs());
    let text = text.replacen("\"store\"", &grace, 1);
    std::fs::write(&daemon.settings, text).expect("cannot write the settings file");
    daemon.restart(binary());
}

#[rstest]
#[case::entry(entry, MANY_TOKENS, 2)]
#[case::entry_in_time(entry, 20, 0)]
#[case::sidecar(sidecar, MANY_TOKENS, 2)]
#[case::sidecar_in_time(sidecar, 20, 0)]
#[actix_rt::test]
async fn stop_with_work_that_does_not_end_is_given_up_in_its_time(
    #[case] daemon: fn(&mut Fleet) -> &mut Daemon,
    #[case] tokens: u32,
    #[case] code: i32,
) {
    let pools = vec![engine_pool(1, loaded_params())];
    let mut fleet = start_deployment(Plan { entries: 1, pools, ..Plan::default() }).await;
    restart_with_grace(daemon(&mut fleet));
    assert!(fleet.wait_all_ready(1).await, "endpoints not all in service");
    let mut stream = open_with_retry(fleet.entry_address(0), tokens, "stop").await;
    let started = daemon(&mut fleet);
    started.terminate();
    if code == 0 {
        assert_complete(&mut stream, tokens as usize).await;
    }
    assert_eq!(started.wait_exit(GRACE), Some(code), "exit code");
    let log = std::fs::read_to_string(started.settings.with_extension("log")).expect("a log");
    assert_eq!(log.contains("event=113 kind=Exiting"), code != 0, "{log}");
}
