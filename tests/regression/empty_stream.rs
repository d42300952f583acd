//! A reader of an empty stream assumed that it had lost entries, because the first offset of the
//! log is 1.

use carobglade::{ControlState, Offset, Replay, ReplayPage, ReplayStatus};

#[test]
fn an_empty_stream_is_current() {
    let mut replay = Replay::<ControlState>::default();
    replay.apply_page(&ReplayPage { first: Offset(1), next: Offset(1), entries: vec![] });
    assert_eq!(replay.status(), ReplayStatus::Current);
}
