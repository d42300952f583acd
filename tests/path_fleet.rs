//! Cuts of a part of a large fleet from its upstreams, in virtual time: how fast vms learn of them, and
//! what the others carry.

use std::collections::BTreeMap;
use std::time::Duration;

use carobglade::{DataCentre, TunnelVms, UpstreamName, UpstreamPaths, VmName};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

const SEED: u64 = 42;
const STEP: Duration = Duration::from_millis(250);
const STEPS: u32 = 16;
/// Time that each tunnel stays open.
const TUNNEL_TIME: Duration = Duration::from_secs(1);
/// Number of vms that did not reach an upstream after which no other vm is asked.
const MAX_UNREACHABLE: usize = 3;
/// Time from the start of a cut after which requests find a way.
const LEARN_TIME: Duration = Duration::from_secs(1);

struct Vm {
    name: VmName,
    data_centre: DataCentre,
    cut: bool,
    paths: UpstreamPaths,
    tunnels: TunnelVms,
    checks: u32,
}

/// What a fleet did during a cut.
#[derive(Debug, Default)]
struct Outcome {
    cut: usize,
    requests: u32,
    asked: u32,
    /// Requests after the learn time for which no vm was found, though others reach the upstream.
    without_way: u32,
    /// Requests after the learn time that waited for a direct connection for long.
    slow: u32,
    /// Most tunnels that one vm carried at once, and the mean of the vms that are not cut.
    most_carried: u32,
    mean_carried: f64,
    /// Most checks of one vm.
    checks: u32,
}

struct Fleet {
    vms: Vec<Vm>,
    upstreams: Vec<UpstreamName>,
    index: BTreeMap<VmName, usize>,
    random: StdRng,
    carried: Vec<u32>,
    /// Open tunnels: end, the vm that asked and the vm that carries it.
    open: Vec<(Duration, usize, usize)>,
    outcome: Outcome,
}

impl Fleet {
    fn new(size: usize, centres: usize, upstreams: usize) -> Self {
        let vms: Vec<Vm> = (0..size)
            .map(|i| Vm {
                name: format!("vm-{i}").parse().unwrap(),
                data_centre: format!("centre-{}", i % centres).parse().unwrap(),
                cut: false,
                paths: UpstreamPaths::default(),
                tunnels: TunnelVms::default(),
                checks: 0,
            })
            .collect();
        Fleet {
            index: vms.iter().enumerate().map(|(i, vm)| (vm.name.clone(), i)).collect(),
            upstreams: (0..upstreams).map(|i| format!("engine-{i}").parse().unwrap()).collect(),
            random: StdRng::seed_from_u64(SEED),
            carried: vec![0; size],
            open: Vec::new(),
            outcome: Outcome::default(),
            vms,
        }
    }

    /// Sends a request of a cut vm to some upstream, through another vm.
    fn send(&mut self, asker: usize, now: Duration) {
        let upstream = self.upstreams.choose(&mut self.random).unwrap().clone();
        let learned = now >= LEARN_TIME;
        let is_fast = !self.vms[asker].paths.plan(&upstream).reuse_idle;
        self.outcome.requests += 1;
        self.outcome.slow += u32::from(learned && !is_fast);
        match self.ask(asker, now) {
            Some(carrier) => {
                self.vms[asker].paths.record_indirect(&upstream, true, now);
                let name = self.vms[carrier].name.clone();
                self.vms[asker].tunnels.record_open(&name);
                self.carried[carrier] += 1;
                self.open.push((now + TUNNEL_TIME, asker, carrier));
            }
            None => {
                self.vms[asker].paths.record_unreachable(&upstream, false, now);
                self.outcome.without_way += u32::from(learned);
            }
        }
    }

    /// Asks vms one after the other for a tunnel to an upstream that all vms reach that are not cut; returns the one that carries it.
    fn ask(&mut self, asker: usize, now: Duration) -> Option<usize> {
        let others = self.vms.iter().filter(|vm| vm.name != self.vms[asker].name);
        let others = others.map(|vm| (vm.name.clone(), vm.data_centre.clone())).collect();
        let own = self.vms[asker].data_centre.clone();
        let order = self.vms[asker].tunnels.order(others, &own, || self.random.random(), now);
        let mut unreachable = 0;
        for name in order {
            self.outcome.asked += 1;
            let vm = self.index[&name];
            if !self.vms[vm].cut {
                return Some(vm);
            }
            self.vms[asker].tunnels.record_declined(&name, now);
            unreachable += usize::from(self.vms[vm].paths.lost_count() == 0);
            if unreachable >= MAX_UNREACHABLE {
                return None;
            }
        }
        None
    }

    fn end_tunnels(&mut self, now: Duration) {
        let (ended, open) = std::mem::take(&mut self.open).into_iter().partition(|t| t.0 <= now);
        self.open = open;
        let ended: Vec<(Duration, usize, usize)> = ended;
        for (_, asker, carrier) in ended {
            let name = self.vms[carrier].name.clone();
            self.vms[asker].tunnels.record_end(&name);
            self.carried[carrier] -= 1;
        }
    }

    /// Checks one lost path, as each vm does now and then.
    fn maintain(&mut self, vm: usize, now: Duration) {
        let vm = &mut self.vms[vm];
        if let Some(name) = vm.paths.oldest_lost().cloned()
            && vm.paths.begin_check(&name, now)
        {
            vm.checks += 1;
            vm.paths.record_still_lost(&name, now);
        }
    }

    fn run(mut self) -> Outcome {
        let cut: Vec<usize> = (0..self.vms.len()).filter(|i| self.vms[*i].cut).collect();
        for step in 0..STEPS {
            let now = STEP * step;
            self.end_tunnels(now);
            for vm in &cut {
                self.send(*vm, now);
            }
            if (step % 4) == 3 {
                cut.iter().for_each(|vm| self.maintain(*vm, now));
            }
            let most = self.carried.iter().copied().max().unwrap_or(0);
            self.outcome.most_carried = self.outcome.most_carried.max(most);
        }
        let carriers = self.vms.len() - cut.len();
        self.outcome.mean_carried = self.open.len() as f64 / carriers as f64;
        self.outcome.checks = self.vms.iter().map(|vm| vm.checks).max().unwrap_or(0);
        self.outcome.cut = cut.len();
        self.outcome
    }
}

fn check(outcome: &Outcome) {
    println!("{outcome:?}");
    let after = f64::from(outcome.requests) * 0.75;
    assert!(f64::from(outcome.without_way) <= 0.02 * after, "{outcome:?}");
    assert!(f64::from(outcome.slow) <= 0.02 * after, "{outcome:?}");
    assert!(f64::from(outcome.most_carried) <= 6.0 * outcome.mean_carried + 8.0, "{outcome:?}");
    assert!(outcome.checks <= STEPS / 4, "{outcome:?}");
}

macro_rules! cuts {
    ($($name:ident => ($vms:expr, $centres:expr, $upstreams:expr, $is_cut:expr);)*) => {
        $(
            #[test]
            fn $name() {
                let mut fleet = Fleet::new($vms, $centres, $upstreams);
                let is_cut: fn(usize) -> bool = $is_cut;
                fleet.vms.iter_mut().enumerate().for_each(|(i, vm)| vm.cut = is_cut(i));
                check(&fleet.run());
            }
        )*
    };
}

// Guards against: a vm that lost its links in a large fleet finds no vm that reaches an upstream, or many
// vms choose the same one.
cuts! {
    a_third_of_77_vms_finds_a_way => (77, 3, 94, |i| i % 10 < 3);
    most_of_a_data_centre_of_77_vms_finds_a_way => (77, 3, 94, |i| i % 3 == 0 && i % 10 != 0);
    a_third_of_1100_vms_finds_a_way => (1100, 12, 1000, |i| i % 10 < 3);
    most_of_a_data_centre_of_1100_vms_finds_a_way => (1100, 12, 1000, |i| i % 12 == 0 && i % 10 != 0);
}
