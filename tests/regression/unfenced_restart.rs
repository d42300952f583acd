//! An upstream without fencing restarted unnoticed and then carried out a load that was ordered for
//! its former incarnation. The memory charge ended with the order's lifetime although the model was
//! loaded.

use carobglade::{
    ByteSize, Change, ConfigChange, ControlState, Incarnation, ORDER_TTL_MS, Offset, OrderIntent,
    OrderKind, Record, StateMachine, UpstreamRestart, UpstreamWire, Verdict,
};

use crate::support::Log;

#[test]
fn the_charge_stays_after_the_lifetime_of_the_order() {
    let engine = UpstreamWire {
        name: "e".into(),
        address: "10.0.0.1:80".into(),
        data_centre: "x".into(),
        memory: Some("64GiB".into()),
        ..UpstreamWire::default()
    };
    let intent = |model: &str, incarnation| {
        Record::OrderIntent(OrderIntent {
            upstream: "e".parse().unwrap(),
            incarnation: Incarnation(incarnation),
            kind: OrderKind::Load,
            model: model.parse().unwrap(),
            size: ByteSize(40 << 30),
        })
    };
    let restarted = |incarnation| {
        let incarnation = Incarnation(incarnation);
        Record::UpstreamRestart(UpstreamRestart { upstream: "e".parse().unwrap(), incarnation })
    };
    let changes = vec![Change::Upstream(engine)];
    let late = 3 * ORDER_TTL_MS;
    let records = [
        (1, Record::ConfigChange(ConfigChange { base: Offset(0), changes })),
        (2, restarted(1)),
        (3, intent("a", 1)),
        (4, restarted(2)),
        (late, intent("b", 2)),
    ];
    let mut log = Log::default();
    let mut state = ControlState::default();
    for (time, record) in records {
        log.append(&format!("e{time}"), time, vec![record]);
        state.apply(log.entries.last().unwrap());
    }
    let verdict = state.verdict(&format!("e{late}")).unwrap();
    assert!(matches!(verdict, Verdict::Rejected(reason) if reason == "memory is full"));
}
