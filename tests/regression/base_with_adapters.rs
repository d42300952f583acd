//! A base model with a loaded adapter could never be evicted, so that other models were not loaded.

use std::collections::BTreeMap;

use carobglade::{
    Change, ConfigChange, ControlState, Demand, Incarnation, ModelName, ModelWire, Offset,
    OrderIntent, OrderKind, OrderResolution, PlacementSettings, PlanInput, Record, StateMachine,
    UpstreamRestart, UpstreamWire, plan_placement,
};

use crate::support::Log;

fn model(name: &str, size: &str, base: Option<&str>) -> Change {
    let base = base.map(str::to_owned);
    Change::Model(ModelWire { name: name.into(), size: size.into(), base })
}

#[test]
fn an_idle_base_and_its_adapter_are_evicted_for_a_cold_model() {
    let engine = UpstreamWire {
        name: "e".into(),
        address: "10.0.0.1:80".into(),
        data_centre: "x".into(),
        memory: Some("64GiB".into()),
        fencing: true,
        ..UpstreamWire::default()
    };
    let changes = vec![
        model("old", "40GiB", None),
        model("old-a", "1GiB", Some("old")),
        model("new", "40GiB", None),
        Change::Upstream(engine),
    ];
    let (mut log, mut state) = (Log::default(), ControlState::default());
    let mut append = |record: Record| {
        let id = format!("e{}", log.entries.len());
        let offset = log.append(&id, 1, vec![record]);
        state.apply(log.entries.last().unwrap());
        offset
    };
    append(Record::ConfigChange(ConfigChange { base: Offset(0), changes }));
    let upstream: carobglade::UpstreamName = "e".parse().unwrap();
    let incarnation = Incarnation(1);
    append(Record::UpstreamRestart(UpstreamRestart { upstream: upstream.clone(), incarnation }));
    for (name, size) in [("old", 40u64), ("old-a", 1)] {
        let order = append(Record::OrderIntent(OrderIntent {
            upstream: upstream.clone(),
            incarnation,
            kind: OrderKind::Load,
            model: name.parse().unwrap(),
            size: carobglade::ByteSize(size << 30),
        }));
        append(Record::OrderResolution(OrderResolution {
            upstream: upstream.clone(),
            incarnation,
            order,
        }));
    }
    let cold: ModelName = "new".parse().unwrap();
    let waiting = Demand { running: 0.0, waiting: 1, oldest_ms: 100 };
    let (demand, used) = (BTreeMap::from([(cold, waiting)]), BTreeMap::new());
    let input = PlanInput {
        config: state.config(),
        ledger: state.ledger(),
        demand: &demand,
        last_used: &used,
        reachable: &|_| true,
        now_ms: 60_000,
    };
    let orders = plan_placement(&input, &PlacementSettings::default());
    let names: Vec<&str> = orders.iter().map(|order| order.model.as_str()).collect();
    assert_eq!(names, ["old", "old-a"]);
    assert!(orders.iter().all(|order| order.kind == OrderKind::Evict));
}
