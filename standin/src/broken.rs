//! Answers that break a rule of HTTP/1.1 or are cut off, and a server that sends one.

use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Time between an answer and the reset of its connection, in which the answer arrives.
const RESET_DELAY: Duration = Duration::from_millis(20);
/// Size of the buffer for a request, which arrives at once.
const REQUEST_BYTES: usize = 4096;

/// Form of an answer. `{s}` stands for its status, `{b}` for its body, `{n}` and `{x}` for the size of
/// the body, the latter in hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Form {
    /// Name of the fault.
    pub name: &'static str,
    text: &'static str,
    /// Whether the connection is reset after the answer instead of closed.
    is_reset: bool,
}

const fn closed(name: &'static str, text: &'static str) -> Form {
    Form { name, text, is_reset: false }
}

/// An answer without a fault.
pub const WHOLE: Form =
    closed("whole", "HTTP/1.1 {s} X\r\nX-Other: 1\r\nContent-Length: {n}\r\n\r\n{b}");

/// Answers that are none, whatever their status and body.
pub const BROKEN: [Form; 17] = [
    closed("status of zero", "HTTP/1.1 000 X\r\nContent-Length: {n}\r\n\r\n{b}"),
    closed("status over the range", "HTTP/1.1 600 X\r\nContent-Length: {n}\r\n\r\n{b}"),
    closed("blank in a name", "HTTP/1.1 {s} X\r\nX Other: 1\r\nContent-Length: {n}\r\n\r\n{b}"),
    closed("control in a name", "HTTP/1.1 {s} X\r\nX\x01O: 1\r\nContent-Length: {n}\r\n\r\n{b}"),
    closed("blank after a name", "HTTP/1.1 {s} X\r\nX-Other : 1\r\nContent-Length: {n}\r\n\r\n{b}"),
    closed("blank after the length", "HTTP/1.1 {s} X\r\nContent-Length : {n}\r\n\r\n{b}"),
    closed("bare feed after the status", "HTTP/1.1 {s} X\nContent-Length: {n}\r\n\r\n{b}"),
    closed("bare feeds", "HTTP/1.1 {s} X\nContent-Length: {n}\n\n{b}"),
    closed("two lengths", "HTTP/1.1 {s} X\r\nContent-Length: 1\r\nContent-Length: {n}\r\n\r\n{b}"),
    closed(
        "length beside chunks",
        "HTTP/1.1 {s} X\r\nContent-Length: {n}\r\nTransfer-Encoding: chunked\r\n\r\n{x}\r\n{b}\r\n0\r\n\r\n",
    ),
    closed("body under its length", "HTTP/1.1 {s} X\r\nContent-Length: 9{n}\r\n\r\n{b}"),
    closed("no last chunk", "HTTP/1.1 {s} X\r\nTransfer-Encoding: chunked\r\n\r\n{x}\r\n{b}\r\n"),
    closed("encoded", "HTTP/1.1 {s} X\r\nContent-Encoding: gzip\r\nContent-Length: {n}\r\n\r\n{b}"),
    closed("no end of the head", "HTTP/1.1 {s} X\r\nContent-Length: {n}\r\n"),
    closed("interim alone", "HTTP/1.1 100 X\r\n\r\n"),
    closed("nothing", ""),
    Form { name: "reset without a length", text: "HTTP/1.1 {s} X\r\n\r\n{b}", is_reset: true },
];

impl Form {
    /// Sends an answer in this form and ends the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is lost before.
    pub fn send(&self, io: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
        let text = self.text.replace("{s}", &status.to_string());
        let text = text.replace("{n}", &body.len().to_string());
        let text = text.replace("{x}", &format!("{:x}", body.len())).replace("{b}", body);
        io.write_all(text.as_bytes())?;
        if self.is_reset {
            std::thread::sleep(RESET_DELAY);
            SockRef::from(&*io).set_linger(Some(Duration::ZERO))?;
        }
        Ok(())
    }

    /// Answers each connection to a new address in this form.
    ///
    /// # Panics
    ///
    /// Panics if there is no free port.
    pub fn serve(self, status: u16, body: &'static str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        serve_at(listener, move |_| Some((self, status, body)));
        address
    }
}

/// Answers the connections to an address, each with what `answer` returns for its request.
pub fn serve_at(
    listener: TcpListener,
    answer: impl Fn(&str) -> Option<(Form, u16, &'static str)> + Send + 'static,
) {
    std::thread::spawn(move || {
        for mut io in listener.incoming().flatten() {
            let mut bytes = [0; REQUEST_BYTES];
            let n = io.read(&mut bytes).unwrap_or(0);
            let request = String::from_utf8_lossy(&bytes[..n]);
            if let Some((form, status, body)) = answer(&request).filter(|_| n > 0) {
                // The client may have closed the connection.
                let _ = form.send(&mut io, status, body);
            }
        }
    });
}

/// Returns the names of the broken forms that a reader takes for an answer.
pub fn believed(mut is_taken: impl FnMut(Form) -> bool) -> Vec<&'static str> {
    BROKEN.iter().filter(|form| is_taken(**form)).map(|form| form.name).collect()
}

/// Returns the form of this name.
///
/// # Panics
///
/// Panics if there is none.
pub fn form(name: &str) -> Form {
    let mut all = BROKEN.into_iter().chain([WHOLE]);
    all.find(|form| form.name == name).expect("the form exists")
}
