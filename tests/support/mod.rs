//! Helpers that several test files share.

#![allow(dead_code, unused_macros)]

use carobglade::{Incarnation, LogEntry, Offset, Record, VmRef};

/// Generates a test for each named case, which calls `$check` with the arguments of the case.
macro_rules! cases {
    ($check:ident: $($name:ident => ($($arg:expr),* $(,)?);)*) => {$(
        #[test]
        fn $name() {
            $check($($arg),*);
        }
    )*};
}

/// Returns the reference to an incarnation of a vm.
pub fn vm(name: &str, incarnation: u64) -> VmRef {
    VmRef { vm: name.parse().unwrap(), incarnation: Incarnation(incarnation) }
}

/// In-memory log that assigns offsets.
#[derive(Default)]
pub struct Log {
    /// The entries, in the order of their offsets.
    pub entries: Vec<LogEntry>,
}

impl Log {
    /// Appends records as one entry and returns its offset.
    pub fn append(&mut self, id: &str, time: u64, records: Vec<Record>) -> Offset {
        let offset = Offset(self.entries.len() as u64 + 1);
        self.entries.push(LogEntry { offset, time_ms: time, id: id.into(), records });
        offset
    }
}
