//! Deployments whose engine memory fills up while generations run.

use crate::common::*;
use standin::engine::Params;
use standin::fleet::Plan;

#[actix_rt::test]
async fn held_generations_complete_without_engine_preemption() {
    let small = Params { capacity: 2048, ..loaded_params() };
    let plan = Plan { entries: 2, pools: vec![engine_pool(1, small)], ..Plan::default() };
    let fleet = start_deployment(plan).await;
    // The sidecar learns from short outputs, so its forecast is too low for the long ones.
    for _ in 0..4 {
        let short = (0..10).map(|k| open_with_retry(fleet.entry_address(k), 8, "short"));
        for mut r in futures_util::future::join_all(short).await {
            assert_complete(&mut r, 8).await;
        }
    }
    let names: Vec<String> = (0..10).map(|n| format!("long {n}")).collect();
    let long = names.iter().enumerate().map(|(n, name)| {
        let entry = fleet.entry_address(n);
        async move {
            let mut r = open_with_retry(entry, 350, name).await;
            assert_complete(&mut r, 350).await;
        }
    });
    futures_util::future::join_all(long).await;
    let counts = fleet.engine(0).unwrap().counts();
    assert!(counts.cancels > 0, "no generation was held: {counts:?}");
    assert_eq!(counts.preemptions, 0, "the engine preempted generations: {counts:?}");
}
