//! Accepts connections on an address for as long as the process runs.

use super::{Failures, Open, Opening, is_broken};
use crate::clock;
use crate::event::Kind;
use actix_rt::net::{TcpListener, TcpStream};
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Pause after a failure to accept, most likely for lack of descriptors, which are freed as
/// connections end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Source of connections that does not end.
pub trait Accept {
    /// Waits for the next connection.
    fn accept(&mut self) -> impl Future<Output = TcpStream>;
}

/// Accepts connections on an address, whose socket is opened anew when it breaks.
#[derive(Debug)]
pub struct Acceptor<R, O = fn(SocketAddr) -> io::Result<TcpListener>> {
    opening: Opening<TcpListener, io::Error, O>,
    listener: Option<TcpListener>,
    failures: Failures,
    is_open: Rc<Cell<bool>>,
    record: R,
}

impl<R: Fn(Kind, &str, &str), O: Open<TcpListener, io::Error>> Acceptor<R, O> {
    /// Accepts connections once the socket is open; `record` gets the events.
    pub fn new(opening: Opening<TcpListener, io::Error, O>, record: R) -> Self {
        Acceptor {
            opening,
            listener: None,
            failures: Failures::new(clock::now()),
            is_open: Rc::default(),
            record,
        }
    }

    /// Shows in `is_open` whether the address is listened on.
    pub fn show_in(self, is_open: Rc<Cell<bool>>) -> Self {
        Acceptor { is_open, ..self }
    }

    /// Waits until the address is listened on.
    pub async fn listening(&mut self) -> &TcpListener {
        let listener = match self.listener.take() {
            Some(listener) => listener,
            None => {
                let listener = self.opening.finish(&self.record).await;
                self.is_open.set(true);
                listener
            }
        };
        self.listener.insert(listener)
    }

    async fn handle_error(&mut self, e: &io::Error) {
        let step = self.failures.record(clock::now());
        if step.is_reported {
            log::warn!("accepting a connection on {} failed: {e}", self.opening.address);
        }
        let is_broken = is_broken(e);
        if is_broken {
            self.listener = None;
            self.is_open.set(false);
        }
        tokio::time::sleep(ACCEPT_PAUSE).await;
        if is_broken {
            let Opening { address, purpose, open, .. } = self.opening;
            self.opening = Opening::start_with(address, purpose, open);
        }
    }
}

impl<R: Fn(Kind, &str, &str), O: Open<TcpListener, io::Error>> Accept for Acceptor<R, O> {
    async fn accept(&mut self) -> TcpStream {
        loop {
            match self.listening().await.accept().await {
                Ok((io, _)) => {
                    self.failures.reset();
                    return io;
                }
                Err(e) => self.handle_error(&e).await,
            }
        }
    }
}

impl Accept for TcpListener {
    async fn accept(&mut self) -> TcpStream {
        loop {
            match TcpListener::accept(self).await {
                Ok((io, _)) => return io,
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    }
}
