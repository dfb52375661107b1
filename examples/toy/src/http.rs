//! Parsing of HTTP request heads.
use std::io::{self, BufRead};

/// A header field.
struct Field {
    name: String,
    value: String,
}

/// The request line and header fields of an HTTP request.
pub(crate) struct RequestHead {
    /// Method, path and version.
    pub(crate) request_line: String,
    fields: Vec<Field>,
}

impl RequestHead {
    /// Reads a request head; `None` at the end of the connection.
    pub(crate) fn read(reader: &mut impl BufRead) -> io::Result<Option<RequestHead>> {
        let mut request_line = String::new();
        if reader.read_line(&mut request_line)? == 0 {
            return Ok(None);
        }
        let mut fields = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let Some((name, value)) = line.trim_end().split_once(':') else {
                return Ok(Some(RequestHead {
                    request_line: request_line.trim_end().to_owned(),
                    fields,
                }));
            };
            fields.push(Field {
                name: name.to_owned(),
                value: value.trim().to_owned(),
            });
        }
    }

    /// Returns the value of a field; empty if there is none.
    pub(crate) fn field(&self, name: &str) -> &str {
        let field = self
            .fields
            .iter()
            .find(|field| field.name.eq_ignore_ascii_case(name));
        field.map_or("", |field| &field.value)
    }
}
