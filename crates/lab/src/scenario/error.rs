//! The error type of the laboratory.
use std::fmt;

/// An error of the laboratory, in one line: invalid input, or a failed operation of the system.
#[derive(Debug, Clone, PartialEq)]
pub struct LabError(pub String);

impl fmt::Display for LabError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for LabError {}
