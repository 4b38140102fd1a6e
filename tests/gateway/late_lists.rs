//! Lists of the store that arrive after changes that another instance has passed on.

use crate::common::{
    CONFIG, list_endpoint, send_request, start_gateway, start_gateway_at, wait_for,
};
use standin::platform::{Action, Endpoint, Gateway, Store, StoreFault, StoreFront};
use std::time::Duration;

/// Time for which the answers to lists of endpoints are on their way.
const LATE: Duration = Duration::from_millis(600);
/// Time after which an endpoint is no longer used that a list lacks.
const LAPSE: Duration = Duration::from_millis(2500);
/// Pause between two changes, so that some come while a list is on its way.
const GAP: Duration = Duration::from_millis(100);

fn endpoints(names: [&str; 5]) -> Vec<Endpoint> {
    names.map(|name| Endpoint::start(name, Action::Respond(200, name.to_owned()))).into()
}

/// Returns the bodies of 60 responses in a row, without repetitions.
fn bodies(gateway: &Gateway) -> Vec<String> {
    let mut all: Vec<_> =
        (0..60).map(|_| send_request(gateway, "GET", "/safe/x", "id-1").body).collect();
    all.sort();
    all.dedup();
    all
}

/// A gateway that follows the store, and one whose lists of endpoints come late once the front fails.
struct Fleet {
    store: Store,
    front: StoreFront,
    near: Gateway,
    far: Gateway,
}

impl Fleet {
    fn start(listed: &[Endpoint]) -> Fleet {
        let store = Store::start();
        store.set("op/config", Some(CONFIG.as_bytes()));
        listed.iter().for_each(|e| list_endpoint(&store, e, "plain", "ready"));
        let front = StoreFront::start(store.address, StoreFault::LateAnswer("servers", LATE));
        front.mend();
        let (near, far) = (start_gateway(&store), start_gateway_at(front.address));
        assert!(wait_for(5, || near.readiness() == 200 && far.readiness() == 200));
        assert!(wait_for(5, || store.keys("gateways/").len() == 2));
        // They get to know each other.
        std::thread::sleep(Duration::from_secs(4));
        Fleet { store, front, near, far }
    }

    /// Has both read all keys, one of them late, and writes changes meanwhile.
    fn change_during_lists(&self, changes: impl Iterator<Item = impl FnOnce()>) {
        self.front.relapse();
        // A watch goes on over one revision without changes, and not over two.
        self.store.compact();
        self.store.compact();
        for change in changes {
            std::thread::sleep(GAP);
            change();
        }
        std::thread::sleep(LATE);
        self.front.mend();
        std::thread::sleep(LAPSE);
    }
}

#[test]
fn endpoint_removed_during_a_late_list_is_not_used_again() {
    let all = endpoints(["i-1", "i-2", "i-3", "i-4", "i-5"]);
    let fleet = Fleet::start(&all);
    assert!(wait_for(2, || bodies(&fleet.far).len() == 5));
    fleet.change_during_lists(all[1..].iter().map(|e| {
        let key = format!("servers/{}", e.id);
        let store = &fleet.store;
        move || store.set(&key, None)
    }));
    assert_eq!(bodies(&fleet.near), ["i-1"]);
    assert_eq!(bodies(&fleet.far), ["i-1"]);
}

#[test]
fn endpoint_added_during_a_late_list_stays_in_use() {
    let all = endpoints(["i-1", "i-2", "i-3", "i-4", "i-5"]);
    let fleet = Fleet::start(&all[..1]);
    let store = &fleet.store;
    fleet.change_during_lists(
        all[1..].iter().map(|e| move || list_endpoint(store, e, "plain", "ready")),
    );
    assert_eq!(bodies(&fleet.near).len(), 5);
    assert_eq!(bodies(&fleet.far).len(), 5);
}
