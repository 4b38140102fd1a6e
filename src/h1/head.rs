//! Heads of requests from callers.

use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Method, Request, Uri};

/// Head of a request in little memory: a map of headers takes several times the bytes received.
#[derive(Debug, Clone)]
pub struct Head {
    method: Method,
    uri: Uri,
    /// Lines of a name, a colon and a value.
    fields: Box<[u8]>,
}

impl Head {
    /// Copies the head of a request, and shares no memory with it.
    pub fn new(req: &Request) -> Head {
        let uri = req.uri();
        // An equal URI could refer to the buffer that the request was received into.
        let own = uri.to_string().parse().unwrap_or_else(|_| uri.clone());
        Head { method: req.method().clone(), uri: own, fields: lines(req.headers()) }
    }

    /// Replaces the URI.
    pub fn with_uri(self, uri: Uri) -> Head {
        Head { uri, ..self }
    }

    /// Returns the method.
    pub fn method(&self) -> &Method {
        &self.method
    }

    /// Returns the URI.
    pub fn uri(&self) -> &Uri {
        &self.uri
    }

    /// Returns the path.
    pub fn path(&self) -> &str {
        self.uri.path()
    }

    /// Returns the names, in lower case, and values of all headers.
    pub fn fields(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let lines = self.fields.split(|b| *b == b'\n');
        lines.filter_map(|line| {
            let colon = line.iter().position(|b| *b == b':')?;
            Some((std::str::from_utf8(&line[..colon]).ok()?, &line[colon + 1..]))
        })
    }

    /// Returns the first value of a header whose name is in lower case, if it is visible ASCII.
    pub fn find(&self, name: &str) -> Option<&str> {
        let (_, value) = self.fields().find(|(n, _)| *n == name)?;
        let is_visible = |b: &u8| matches!(b, b' '..=b'~' | b'\t');
        std::str::from_utf8(value).ok().filter(|v| v.as_bytes().iter().all(is_visible))
    }

    /// Returns the number of headers.
    pub fn count(&self) -> usize {
        self.fields.iter().filter(|b| **b == b'\n').count()
    }

    /// Returns the bytes of memory that the head takes.
    pub fn bytes(&self) -> usize {
        let uri = self.uri.path_and_query().map_or(0, |target| target.as_str().len())
            + self.uri.authority().map_or(0, |authority| authority.as_str().len());
        size_of::<Head>() + self.fields.len() + uri + self.method.as_str().len()
    }
}

fn lines(headers: &HeaderMap) -> Box<[u8]> {
    let size = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 2).sum();
    let mut lines = Vec::with_capacity(size);
    for (name, value) in headers {
        lines.extend_from_slice(name.as_str().as_bytes());
        lines.push(b':');
        lines.extend_from_slice(value.as_bytes());
        lines.push(b'\n');
    }
    lines.into_boxed_slice()
}
