//! Tests of the memory ledger: accelerator memory is never overcommitted, even if orders are lost,
//! duplicated or late.

#[macro_use]
mod support;

use std::collections::{BTreeMap, BTreeSet};

use carobglade::{
    ByteSize, Change, ConfigChange, ControlState, Incarnation, ModelName, ModelPhase, ModelWire,
    ORDER_TTL_MS, Offset, OrderIntent, OrderKind, OrderResolution, Record, StateMachine,
    UpstreamName, UpstreamRestart, UpstreamWire, Verdict,
};
use proptest::prelude::*;
use support::Log;

const GIB: u64 = 1 << 30;
const MODELS: usize = 5;
const SIZES: [u64; MODELS] = [30, 25, 20, 40, 10]; // GiB, of 64

fn upstream() -> UpstreamName {
    "engine".parse().unwrap()
}

fn model(i: usize) -> ModelName {
    format!("m{i}").parse().unwrap()
}

fn config_record(fencing: bool) -> Record {
    let engine = UpstreamWire {
        name: "engine".into(),
        address: "127.0.0.1:1".into(),
        data_centre: "rennes".into(),
        memory: Some("64GiB".into()),
        fencing,
        ..UpstreamWire::default()
    };
    let models = SIZES.iter().enumerate().map(|(i, size)| {
        Change::Model(ModelWire { name: format!("m{i}"), size: format!("{size}GiB"), base: None })
    });
    let changes = std::iter::once(Change::Upstream(engine)).chain(models).collect();
    Record::ConfigChange(ConfigChange { base: Offset(0), changes })
}

fn intent(kind: OrderKind, i: usize, incarnation: u64) -> Record {
    Record::OrderIntent(OrderIntent {
        upstream: upstream(),
        incarnation: Incarnation(incarnation),
        kind,
        model: model(i),
        size: ByteSize(SIZES[i] * GIB),
    })
}

fn resolve(order: u64, incarnation: u64) -> Record {
    let incarnation = Incarnation(incarnation);
    Record::OrderResolution(OrderResolution {
        upstream: upstream(),
        incarnation,
        order: Offset(order),
    })
}

fn restarted(incarnation: u64) -> Record {
    Record::UpstreamRestart(UpstreamRestart {
        upstream: upstream(),
        incarnation: Incarnation(incarnation),
    })
}

/// Applies `records`, each as an entry of its own and one second apart, after the configuration at
/// offset 1 and the first incarnation at offset 2. Checks whether the last record is accepted.
fn check_last_record(fencing: bool, records: Vec<Record>, accepted: bool) {
    let mut log = Log::default();
    let first = [config_record(fencing), restarted(1)];
    for (i, record) in first.into_iter().chain(records).enumerate() {
        log.append(&format!("e{i}"), i as u64 * 1000, vec![record]);
    }
    let mut state = ControlState::default();
    log.entries.iter().for_each(|entry| state.apply(entry));
    let last = &log.entries.last().unwrap().id;
    let verdict = state.verdict(last).unwrap();
    assert_eq!(matches!(verdict, Verdict::Accepted(_)), accepted, "{verdict:?}");
}

const LOAD: OrderKind = OrderKind::Load;
const EVICT: OrderKind = OrderKind::Evict;

cases! { check_last_record:
    a_load_that_fits_is_admitted => (true, vec![intent(LOAD, 0, 1)], true);
    a_pending_load_counts_against_a_second_load => (
        true, vec![intent(LOAD, 0, 1), intent(LOAD, 3, 1)], false,
    );
    a_model_is_not_loaded_twice => (true, vec![intent(LOAD, 4, 1), intent(LOAD, 4, 1)], false);
    an_order_for_an_old_incarnation_is_rejected => (
        true, vec![restarted(2), intent(LOAD, 0, 1)], false,
    );
    an_eviction_frees_nothing_before_it_is_resolved => (
        true,
        vec![intent(LOAD, 3, 1), resolve(3, 1), intent(EVICT, 3, 1), intent(LOAD, 0, 1)],
        false,
    );
    a_resolved_eviction_frees_its_memory => (
        true,
        vec![
            intent(LOAD, 3, 1), resolve(3, 1), intent(EVICT, 3, 1), resolve(5, 1),
            intent(LOAD, 0, 1),
        ],
        true,
    );
    without_fencing_a_late_load_may_follow_an_eviction => (
        false,
        vec![
            intent(LOAD, 3, 1), resolve(3, 1), intent(EVICT, 3, 1), resolve(5, 1),
            intent(LOAD, 0, 1),
        ],
        false,
    );
    with_fencing_a_restart_frees_all_memory => (
        true, vec![intent(LOAD, 3, 1), restarted(2), intent(LOAD, 0, 2)], true,
    );
    without_fencing_a_restart_frees_nothing_at_once => (
        false, vec![intent(LOAD, 3, 1), restarted(2), intent(LOAD, 0, 2)], false,
    );
    with_fencing_an_eviction_blocks_a_pending_load => (
        true, vec![intent(LOAD, 0, 1), intent(EVICT, 0, 1)], true,
    );
    without_fencing_a_loading_model_is_not_evicted => (
        false, vec![intent(LOAD, 0, 1), intent(EVICT, 0, 1)], false,
    );
}

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    Propose { load: bool, model: usize },
    Send { index: usize },
    Deliver { index: usize, duplicate: bool, lost: bool },
    Report,
    Resolve { index: usize },
    Restart,
    Wait { seconds: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (any::<bool>(), 0..MODELS).prop_map(|(load, model)| Step::Propose { load, model }),
        6 => (0..8usize).prop_map(|index| Step::Send { index }),
        8 => (0..16usize, any::<bool>(), 0..5u8)
            .prop_map(|(index, duplicate, l)| Step::Deliver { index, duplicate, lost: l == 0 }),
        4 => Just(Step::Report),
        8 => (0..8usize).prop_map(|index| Step::Resolve { index }),
        1 => Just(Step::Restart),
        2 => (1..200u64).prop_map(|seconds| Step::Wait { seconds }),
    ]
}

#[derive(Clone, Debug)]
struct Order {
    id: u64,
    incarnation: u64,
    load: bool,
    model: usize,
    sent_at: u64,
}

/// Simulated upstream that carries out orders and, with `fencing`, rejects outdated ones.
struct Engine {
    fencing: bool,
    incarnation: u64,
    resident: BTreeSet<usize>,
    fences: BTreeMap<usize, u64>,
    completed: BTreeSet<u64>,
}

impl Engine {
    fn execute(&mut self, order: &Order) {
        let fence = self.fences.entry(order.model).or_insert(0);
        if self.fencing && (order.incarnation != self.incarnation || order.id <= *fence) {
            return;
        }
        *fence = order.id;
        match order.load {
            true => self.resident.insert(order.model),
            false => self.resident.remove(&order.model),
        };
        self.completed.insert(order.id);
    }

    fn used_gib(&self) -> u64 {
        self.resident.iter().map(|i| SIZES[*i]).sum()
    }
}

fn run_schedule(fencing: bool, steps: &[Step]) -> Result<(), TestCaseError> {
    let (mut log, mut state) = (Log::default(), ControlState::default());
    let mut engine = Engine {
        fencing,
        incarnation: 1,
        resident: BTreeSet::new(),
        fences: BTreeMap::new(),
        completed: BTreeSet::new(),
    };
    let (mut in_flight, mut reports) = (Vec::<Order>::new(), vec![(1, BTreeSet::new())]);
    let mut time = 0;
    let mut append = |state: &mut ControlState, time: u64, record: Record| {
        let id = format!("e{}", log.entries.len());
        log.append(&id, time, vec![record]);
        state.apply(log.entries.last().unwrap());
    };
    append(&mut state, 0, config_record(fencing));
    append(&mut state, 0, restarted(1));
    for step in steps {
        time += 10;
        let account = state.ledger().account(&upstream()).unwrap().clone();
        let pending: Vec<(ModelName, u64, bool)> = account
            .charges
            .iter()
            .filter(|(_, c)| fencing || time < c.time_ms + ORDER_TTL_MS / 2)
            .filter(|(_, c)| c.phase.is_in_progress())
            .map(|(name, c)| (name.clone(), c.order.0, c.phase == ModelPhase::Loading))
            .collect();
        match *step {
            Step::Propose { load, model } => {
                let kind = if load { LOAD } else { EVICT };
                append(&mut state, time, intent(kind, model, account.incarnation.0));
            }
            Step::Send { index } if !pending.is_empty() => {
                let (name, id, load) = &pending[index % pending.len()];
                let model = (0..MODELS).find(|i| model(*i) == *name).unwrap();
                let incarnation = account.incarnation.0;
                let order = Order { id: *id, incarnation, load: *load, model, sent_at: time };
                in_flight.push(order);
            }
            Step::Deliver { index, duplicate, lost } if !in_flight.is_empty() => {
                let index = index % in_flight.len();
                let order = in_flight[index].clone();
                if !duplicate {
                    in_flight.remove(index);
                }
                if !lost {
                    engine.execute(&order);
                }
            }
            Step::Report => reports.push((engine.incarnation, engine.completed.clone())),
            Step::Resolve { index } => {
                let (incarnation, completed) = reports[index % reports.len()].clone();
                if incarnation > account.incarnation.0 {
                    append(&mut state, time, restarted(incarnation));
                } else if let Some((_, order, _)) =
                    pending.iter().find(|(_, n, _)| completed.contains(n))
                {
                    append(&mut state, time, resolve(*order, incarnation));
                }
            }
            Step::Restart => {
                engine.incarnation += 1;
                engine.resident.clear();
                engine.fences.clear();
                engine.completed.clear();
            }
            Step::Wait { seconds } => time += seconds * 1000,
            Step::Send { .. } | Step::Deliver { .. } => {}
        }
        // An order arrives at most half its lifetime after it was sent. Without fencing, it is sent
        // in the first half of its lifetime.
        in_flight.retain(|order| time < order.sent_at + ORDER_TTL_MS / 2);
        let used_gib = engine.used_gib();
        prop_assert!(used_gib <= 64, "{used_gib} GiB of 64 are used: {:?}", engine.resident);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn memory_is_not_overcommitted(
        fencing in any::<bool>(),
        steps in proptest::collection::vec(step(), 1..200),
    ) {
        run_schedule(fencing, &steps)?;
    }
}
