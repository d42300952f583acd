//! What the process believes of the world: the configuration, the upstreams, the other vms.
//!
//! Only the followers of the platform's log write here; requests read.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use carobglade::{Freshness, FreshnessSettings, Roster, RosterSettings, Site, VmName};

/// Another vm that runs the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Neighbour {
    /// Where it takes messages.
    pub address: SocketAddr,
}

/// What the process believes.
pub struct View {
    /// The configuration in force, if one was ever read.
    pub site: Option<Rc<Site>>,
    /// How old that is.
    pub freshness: Freshness,
    /// The upstreams.
    pub roster: Roster,
    /// The other vms.
    pub neighbours: BTreeMap<VmName, Neighbour>,
    /// Whether the list of vms was read.
    pub vms_known: bool,
}

/// Time kept between the last use of a key and its bound.
const KEY_MARGIN: Duration = Duration::from_millis(600);

impl View {
    /// Knows nothing yet.
    pub fn new(revoke: Duration) -> Self {
        let refuse = revoke.saturating_sub(KEY_MARGIN);
        let settings = FreshnessSettings { refuse, unready: revoke.mul_f64(0.56) };
        View {
            site: None,
            freshness: Freshness::new(settings),
            roster: Roster::new(RosterSettings::default()),
            neighbours: BTreeMap::new(),
            vms_known: false,
        }
    }

    /// Takes a configuration unless a newer one is in force.
    pub fn adopt(&mut self, site: Site) -> bool {
        let newer = self.site.as_ref().is_none_or(|old| old.version < site.version);
        if newer {
            self.site = Some(Rc::new(site));
        }
        newer
    }
}
