//! Messages between vms and records in the log, as older and newer builds encode them. The samples
//! were written by an older build; `samples/README.md` says how.

mod newer;
mod samples;
mod values;
