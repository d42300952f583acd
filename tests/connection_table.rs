//! Crowds of connections: which one gives way, and that ordinary clients keep theirs.

use std::collections::BTreeMap;
use std::time::Duration;

use carobglade::ConnectionAdmission::{Admitted, Refused, Replaces};
use carobglade::ConnectionStage::{Idle, PartialBody, PartialHead, Serving};
use carobglade::{ConnectionId, ConnectionStage, ConnectionTable};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn open(table: &mut ConnectionTable, now: Duration) -> (ConnectionId, Option<ConnectionId>) {
    match table.open(now) {
        Admitted(id) => (id, None),
        Replaces(id, replaced) => (id, Some(replaced)),
        Refused => panic!("refused"),
    }
}

#[test]
fn the_connection_that_got_least_far_gives_way_and_of_these_the_oldest() {
    let mut table = ConnectionTable::new(4);
    let ids: Vec<ConnectionId> = (0..4).map(|i| open(&mut table, ms(i)).0).collect();
    table.set_stage(ids[0], Idle, ms(5));
    table.set_stage(ids[1], PartialHead, ms(6));
    table.set_stage(ids[2], Serving, ms(7));
    let mut replaced = Vec::new();
    for now in 10..13 {
        let (id, victim) = open(&mut table, ms(now));
        table.set_stage(id, Serving, ms(now));
        replaced.push(victim.unwrap());
    }
    assert_eq!(replaced, [ids[3], ids[1], ids[0]]);
    assert_eq!(table.open(ms(20)), Refused);
    table.close(ids[2]);
    assert!(matches!(table.open(ms(21)), Admitted(_)));
    assert_eq!(table.len(), 4);
}

/// Guards against a crowd of bodies that stop short of their end, which takes all connections until
/// the timeout of its route.
#[test]
fn of_bodies_the_one_that_stands_still_longest_gives_way() {
    let mut table = ConnectionTable::new(3);
    let ids: Vec<ConnectionId> = (0..3).map(|i| open(&mut table, ms(i)).0).collect();
    ids.iter().for_each(|id| table.set_stage(*id, PartialBody, ms(3)));
    table.record_progress(ids[0], ms(5));
    table.set_stage(ids[1], Serving, ms(6));
    table.record_progress(ids[1], ms(7));
    let (new, replaced) = open(&mut table, ms(8));
    assert_eq!(replaced, Some(ids[2]));
    table.set_stage(new, PartialBody, ms(8));
    assert_eq!(open(&mut table, ms(9)).1, Some(ids[0]));
}

#[test]
fn what_is_told_of_a_closed_connection_is_ignored() {
    let mut table = ConnectionTable::new(1);
    let (first, _) = open(&mut table, ms(0));
    let (second, replaced) = open(&mut table, ms(1));
    assert_eq!(replaced, Some(first));
    table.set_stage(first, Serving, ms(2));
    table.close(first);
    assert_eq!(table.len(), 1);
    table.close(second);
    assert!(table.is_empty());
}

/// Guards against ordinary clients that lose their connections to a crowd that only opens some.
#[test]
fn ordinary_clients_are_served_beside_a_crowd() {
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut table = ConnectionTable::new(100);
        // When the request of an ordinary client arrives, and when it ends.
        let mut ordinary: BTreeMap<ConnectionId, (Duration, Duration)> = BTreeMap::new();
        for now in (0..5000).map(ms) {
            for _ in 0..random.random_range(0..4) {
                open(&mut table, now);
            }
            if random.random_bool(0.2) {
                let (id, _) = open(&mut table, now);
                let arrives = now + ms(random.random_range(1..15));
                ordinary.insert(id, (arrives, arrives + ms(random.random_range(20..200))));
            }
            let stage = |id, stage: ConnectionStage, table: &mut ConnectionTable| {
                let before = table.len();
                table.set_stage(id, stage, now);
                assert_eq!(table.len(), before);
            };
            for (id, (arrives, ends)) in &ordinary {
                if *arrives == now {
                    stage(*id, Serving, &mut table);
                }
                if *ends == now {
                    let before = table.len();
                    table.close(*id);
                    assert_eq!(table.len(), before - 1, "lost: seed {seed}, {now:?}");
                }
            }
            ordinary.retain(|_, (_, ends)| *ends > now);
            assert!(table.len() <= 100);
        }
    }
}
