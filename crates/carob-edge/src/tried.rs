//! The upstreams that the further attempts of a request leave out.

use std::cell::RefCell;

use carobglade::{AttemptOutcome, UpstreamName};

/// Upstreams that were tried for one request.
#[derive(Debug, Default)]
pub struct TriedUpstreams {
    names: RefCell<Vec<UpstreamName>>,
    /// The upstream whose connection broke last.
    broken: RefCell<Option<UpstreamName>>,
}

impl TriedUpstreams {
    /// Returns all upstreams that were tried.
    pub fn names(&self) -> Vec<UpstreamName> {
        self.names.borrow().clone()
    }

    /// Returns the upstreams that the next attempt leaves out. One whose connection broke is tried once
    /// more if no other can ever take the request, because the fault may be on the way to it.
    pub fn excluded(&self, has_other: impl Fn(&[UpstreamName]) -> bool) -> Vec<UpstreamName> {
        let mut names = self.names.borrow_mut();
        if let Some(broken) = self.broken.take()
            && !has_other(&names)
        {
            names.retain(|name| *name != broken);
        }
        names.clone()
    }

    /// Lets the request go to an upstream again.
    pub fn allow(&self, name: &UpstreamName) {
        self.names.borrow_mut().retain(|tried| tried != name);
    }

    /// Lets the request go to an upstream again unless another one can take it.
    pub fn allow_unless(&self, name: &UpstreamName, has_other: impl Fn(&[UpstreamName]) -> bool) {
        if !has_other(&self.names()) {
            self.allow(name);
        }
    }

    /// Adds upstreams.
    pub fn extend(&self, names: impl IntoIterator<Item = UpstreamName>) {
        self.names.borrow_mut().extend(names);
    }

    /// Records that a stream goes on at `name`, so that all others may continue it.
    pub fn set_source(&self, name: &UpstreamName) {
        self.replace(vec![name.clone()]);
    }

    /// Replaces the upstreams.
    pub fn replace(&self, names: Vec<UpstreamName>) {
        self.names.replace(names);
    }

    /// Records how an attempt at an upstream ended.
    pub fn record_outcome(&self, name: &UpstreamName, outcome: AttemptOutcome) {
        if outcome == AttemptOutcome::TransportError {
            self.broken.replace(Some(name.clone()));
        }
    }
}
