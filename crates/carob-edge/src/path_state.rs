//! What this vm knows of its paths to upstreams, and what it does for other vms.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use carobglade::{TunnelVms, UpstreamPaths};
use rand::Rng;
use tokio::sync::Notify;

use crate::in_flight::InFlightCounter;

/// The state of paths to upstreams.
pub struct PathState {
    /// Paths from this vm to upstreams.
    pub table: RefCell<UpstreamPaths>,
    /// The vms through which this one reaches upstreams.
    pub vms: Rc<RefCell<TunnelVms>>,
    /// Wakes what waits for an upstream whose path may be lost.
    pub lost: Notify,
    /// Connections that this vm carries for others.
    pub carried: InFlightCounter,
    /// What another vm has to name to have its connections carried; told in the list of vms.
    pub token: String,
    /// Whether this vm counted as cut off when that was last logged.
    pub cut_off: Cell<bool>,
}

impl Default for PathState {
    fn default() -> Self {
        PathState {
            table: RefCell::default(),
            vms: Rc::default(),
            lost: Notify::new(),
            carried: InFlightCounter::default(),
            token: format!("{:032x}", rand::rng().random::<u128>()),
            cut_off: Cell::new(false),
        }
    }
}
