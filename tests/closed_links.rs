//! Links that are closed while nng's threads are done with a request. A target of its own: nng starts
//! its threads once, on the cores of the thread that first uses it.

use skylarkthread::peer::{Link, Listener};
use standin::host::{ServerThread, free_address, use_one_core};
use std::time::Duration;

/// Number of links that are closed as soon as a reply has arrived.
const CLOSED_LINKS: usize = 12_000;
/// Number of links that are open at the same time.
const OPEN_LINKS: usize = 20;

/// nng freed the socket of a link while one of its threads still used it, and ended the process.
#[actix_rt::test]
async fn link_that_is_closed_at_its_reply_does_not_end_the_process() {
    use_one_core();
    let address = free_address();
    let _server = ServerThread::spawn(move || async move {
        let mut listener = Listener::bind(address).expect("a free address can be bound");
        while let Some((message, responder)) = listener.next().await {
            responder.reply(&message);
        }
    });
    for _ in 0..CLOSED_LINKS / OPEN_LINKS {
        let replies = (0..OPEN_LINKS).map(|_| async {
            let link = Link::dial(address).expect("a socket can be created");
            link.request(&[0], Duration::from_secs(5)).await.map(|m| m.len())
        });
        for reply in futures_util::future::join_all(replies).await {
            assert_eq!(reply, Ok(1));
        }
    }
}
