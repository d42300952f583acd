//! What several test files share.

#![allow(dead_code, unused_macros)]

use carobglade::{Entry, Incarnation, Offset, Record, VmRef};

/// Names each case of a table as a test of its own.
macro_rules! cases {
    ($check:ident: $($name:ident => ($($arg:expr),* $(,)?);)*) => {$(
        #[test]
        fn $name() {
            $check($($arg),*);
        }
    )*};
}

/// An incarnation of a vm.
pub fn vm(name: &str, incarnation: u64) -> VmRef {
    VmRef { vm: name.parse().unwrap(), incarnation: Incarnation(incarnation) }
}

/// A log in memory that stamps offsets and times.
#[derive(Default)]
pub struct Log {
    /// All entries.
    pub entries: Vec<Entry>,
}

impl Log {
    /// Appends records as one entry.
    pub fn append(&mut self, id: &str, time: u64, records: Vec<Record>) -> Offset {
        let offset = Offset(self.entries.len() as u64 + 1);
        self.entries.push(Entry { offset, time, id: id.into(), records });
        offset
    }
}
