//! Tests of replay: every reader reaches the same state despite duplicates, snapshots and gaps.

mod support;

use carobglade::{
    Change, ConfigChange, ConfigWire, ControlState, KeyDigest, LogEntry, Offset, Record, Replay,
    ReplayPage, ReplayStatus, TenantWire,
};
use proptest::prelude::*;
use support::{Log, vm};

fn tenant(i: u64) -> Change {
    Change::Tenant(TenantWire {
        name: format!("t{i}"),
        class: "batch".into(),
        rate: "5/s".into(),
        burst: 1,
        keys: vec![KeyDigest::of(&format!("k{i}")).to_string()],
        models: vec![],
    })
}

fn page(log: &Log, first: u64, from: u64, limit: usize) -> ReplayPage {
    let entries: Vec<LogEntry> =
        log.entries.iter().filter(|e| e.offset.0 >= first.max(from)).take(limit).cloned().collect();
    ReplayPage { first: Offset(first), next: Offset(log.entries.len() as u64 + 1), entries }
}

fn append_change(log: &mut Log, writer: &mut Replay<ControlState>, i: u64) {
    let base = writer.state().version();
    let changes = vec![tenant(i)];
    log.append(&format!("e{i}"), i, vec![Record::ConfigChange(ConfigChange { base, changes })]);
    let unread = page(log, 1, writer.next_offset().0, 1000);
    writer.apply_page(&unread);
}

fn append_snapshot(log: &mut Log, writer: &mut Replay<ControlState>, name: &str) {
    let snapshot = writer.snapshot().unwrap();
    log.append(name, 1, vec![Record::Snapshot(snapshot)]);
    let unread = page(log, 1, writer.next_offset().0, 1000);
    writer.apply_page(&unread);
}

#[test]
fn a_second_copy_of_an_entry_is_ignored() {
    let mut log = Log::default();
    let renew = |i: u64| Record::Renew(vm("a", i));
    log.append("same", 1, vec![renew(1)]);
    log.append("same", 1, vec![renew(1)]);
    let mut replay = Replay::<ControlState>::default();
    assert_eq!(replay.apply_page(&page(&log, 1, 1, 10)).len(), 1);
    assert_eq!(replay.next_offset(), Offset(3));
}

#[test]
fn a_reader_behind_retention_finds_a_snapshot() {
    let (mut log, mut writer) = (Log::default(), Replay::default());
    (1..=10).for_each(|i| append_change(&mut log, &mut writer, i));
    append_snapshot(&mut log, &mut writer, "s1");
    (11..=14).for_each(|i| append_change(&mut log, &mut writer, i));
    let mut late = Replay::<ControlState>::default();
    late.apply_page(&page(&log, 9, 1, 100));
    assert_eq!(late.status(), ReplayStatus::Current);
    assert_eq!(late.state().config_wire(), writer.state().config_wire());
    assert_eq!(late.state().version(), writer.state().version());
}

#[test]
fn a_reader_without_a_covering_snapshot_keeps_searching() {
    let (mut log, mut writer) = (Log::default(), Replay::default());
    (1..=4).for_each(|i| append_change(&mut log, &mut writer, i));
    append_snapshot(&mut log, &mut writer, "s1");
    (5..=20).for_each(|i| append_change(&mut log, &mut writer, i));
    let mut late = Replay::<ControlState>::default();
    late.apply_page(&page(&log, 10, 1, 100));
    assert_eq!(late.status(), ReplayStatus::Searching);
    assert!(late.state().config().tenants.is_empty());
}

#[test]
fn a_reader_that_fell_behind_continues_from_a_snapshot() {
    let (mut log, mut writer) = (Log::default(), Replay::default());
    (1..=4).for_each(|i| append_change(&mut log, &mut writer, i));
    let mut slow = Replay::<ControlState>::default();
    slow.apply_page(&page(&log, 1, 1, 2));
    (5..=9).for_each(|i| append_change(&mut log, &mut writer, i));
    append_snapshot(&mut log, &mut writer, "s1");
    slow.apply_page(&page(&log, 8, slow.next_offset().0, 100));
    assert_eq!(slow.status(), ReplayStatus::Current);
    assert_eq!(slow.state().version(), writer.state().version());
}

#[test]
fn an_old_snapshot_reverts_nothing() {
    let (mut log, mut writer) = (Log::default(), Replay::default());
    (1..=3).for_each(|i| append_change(&mut log, &mut writer, i));
    let old = writer.snapshot().unwrap();
    (4..=6).for_each(|i| append_change(&mut log, &mut writer, i));
    log.append("old", 1, vec![Record::Snapshot(old.clone())]);
    let unread = page(&log, 1, writer.next_offset().0, 100);
    writer.apply_page(&unread);
    assert_eq!(writer.state().config().tenants.len(), 6);
    assert!(writer.install_snapshot(&old).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A reader with pages of any size, a late start or entries lost to retention agrees with a
    /// reader of the whole log, and its version never decreases.
    #[test]
    fn readers_agree(
        steps in proptest::collection::vec((0..6u8, 1..5usize), 1..80),
    ) {
        let (mut log, mut writer) = (Log::default(), Replay::default());
        let mut reader = Replay::<ControlState>::default();
        let (mut first, mut count, mut covered_to) = (1, 0, 0);
        for (kind, size) in steps {
            let before = reader.state().version();
            match kind {
                0 | 1 => {
                    count += 1;
                    append_change(&mut log, &mut writer, count);
                }
                2 => {
                    count += 1;
                    if let Some(taken) = writer.snapshot() {
                        covered_to = taken.last_offset.0;
                        append_snapshot(&mut log, &mut writer, &format!("s{count}"));
                    }
                }
                3 => first = first.max((covered_to + 1).saturating_sub(size as u64)).max(1),
                4 => drop(reader.apply_page(&page(&log, first, reader.next_offset().0, size))),
                _ => reader = Replay::default(),
            }
            if kind != 5 {
                prop_assert!(reader.state().version() >= before, "the version decreased");
            }
        }
        reader.apply_page(&page(&log, first, reader.next_offset().0, 10_000));
        if reader.status() == ReplayStatus::Current {
            prop_assert_eq!(reader.state().config_wire(), writer.state().config_wire());
            prop_assert_eq!(reader.state().version(), writer.state().version());
        } else {
            prop_assert_eq!(reader.state().config_wire(), ConfigWire::default());
        }
    }
}
