//! The vms through which this one reaches upstreams whose direct path is lost.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{DataCentre, VmName};

/// Settings of [`TunnelVms`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TunnelVmsSettings {
    /// Time for which a vm that declined is asked after the others.
    pub decline_time: Duration,
    /// Number of vms that are asked for one connection.
    pub max_asked: usize,
    /// Number of vms of this data centre that declined from which the others come first.
    pub max_declined: usize,
}

impl Default for TunnelVmsSettings {
    fn default() -> Self {
        TunnelVmsSettings { decline_time: Duration::from_secs(1), max_asked: 6, max_declined: 2 }
    }
}

/// Which vms carry connections for this one, and which declined to.
#[derive(Clone, Debug, Default)]
pub struct TunnelVms {
    settings: TunnelVmsSettings,
    /// Open connections through each vm.
    open: BTreeMap<VmName, u32>,
    /// Time until which a vm is asked after the others.
    declined: BTreeMap<VmName, Duration>,
}

impl TunnelVms {
    /// Creates a table without any connections.
    pub fn new(settings: TunnelVmsSettings) -> Self {
        TunnelVms { settings, ..TunnelVms::default() }
    }

    /// Returns the vms to ask for a connection, in this order: a few of the data centre `own` come first,
    /// then as many of the others, since most of a data centre may be cut off, then the rest. Among
    /// equals those come first that carry fewer connections for this vm; those that declined come last.
    /// `random` breaks ties, so that the vms of a data centre do not all ask the same one.
    pub fn order(
        &self,
        vms: Vec<(VmName, DataCentre)>,
        own: &DataCentre,
        mut random: impl FnMut() -> u32,
        now: Duration,
    ) -> Vec<VmName> {
        let declines = |vm: &VmName| self.declined.get(vm).is_some_and(|until| *until > now);
        let local_declines =
            vms.iter().filter(|(vm, data_centre)| data_centre == own && declines(vm)).count();
        let prefers_own = local_declines < self.settings.max_declined;
        let mut ranked: Vec<_> = vms
            .into_iter()
            .map(|(vm, data_centre)| {
                let second = (data_centre == *own) != prefers_own;
                let open = self.open.get(&vm).copied().unwrap_or(0);
                (declines(&vm), second, open, random(), vm)
            })
            .collect();
        ranked.sort_unstable();
        let (able, declining): (Vec<_>, Vec<_>) =
            ranked.into_iter().partition(|(declines, ..)| !*declines);
        let (mut first, second): (Vec<_>, Vec<_>) =
            able.into_iter().partition(|(_, second, ..)| !*second);
        let rest = first.split_off(first.len().min(self.settings.max_declined));
        let mut second = second.into_iter();
        first.extend(second.by_ref().take(self.settings.max_declined));
        let all = first.into_iter().chain(rest).chain(second).chain(declining);
        all.take(self.settings.max_asked).map(|(.., vm)| vm).collect()
    }

    /// Records that a vm declined, did not reach the upstream or did not answer in time.
    pub fn record_declined(&mut self, vm: &VmName, now: Duration) {
        self.declined.retain(|_, until| *until > now);
        self.declined.insert(vm.clone(), now + self.settings.decline_time);
    }

    /// Records that a vm carries a connection.
    pub fn record_open(&mut self, vm: &VmName) {
        *self.open.entry(vm.clone()).or_default() += 1;
    }

    /// Records the end of a connection through a vm.
    pub fn record_end(&mut self, vm: &VmName) {
        let Some(open) = self.open.get_mut(vm) else {
            return;
        };
        *open = open.saturating_sub(1);
        if *open == 0 {
            self.open.remove(vm);
        }
    }

    /// Returns the number of connections through other vms.
    pub fn open_count(&self) -> u32 {
        self.open.values().sum()
    }
}
