//! What is wrong, and where.
use std::fmt;

/// The file, and the key in it or the variable.
#[derive(Debug)]
pub struct Fault(String);

impl Fault {
    pub fn new(what: impl Into<String>) -> Fault {
        Fault(what.into())
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Fault {}
