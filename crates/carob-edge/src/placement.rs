//! Models and adapters that requests wait for, and what is known of engines beyond the list.
//!
//! Engines write to the list about once a second and do not announce a change of adapters, so the
//! process that gives orders tells the others what it changed.

use std::collections::BTreeMap;
use std::time::Duration;

use carobglade::{Listed, ModelName, UpstreamName, short_name};
use serde::{Deserialize, Serialize};

/// How long news count beside the list.
const NEWS_TIME: Duration = Duration::from_secs(4);

/// How long a request for an adapter is remembered.
const WANT_TIME: Duration = Duration::from_millis(1500);

/// How long the use of an adapter is remembered.
const USE_TIME: Duration = Duration::from_secs(60);

/// An adapter of a service's model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AdapterName {
    /// The service.
    pub service: String,
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: String,
}

/// A change to what an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementNews {
    /// The engine.
    pub upstream: UpstreamName,
    /// The model.
    pub model: ModelName,
    /// The adapter; none where the model itself is meant.
    pub adapter: Option<String>,
    /// Whether it may be used.
    pub there: bool,
    /// The engine's count of orders after the change.
    pub sequence: u64,
}

impl PlacementNews {
    fn concerns(&self, upstream: &UpstreamName, model: &ModelName, adapter: Option<&str>) -> bool {
        self.upstream == *upstream && self.model == *model && self.adapter.as_deref() == adapter
    }
}

#[derive(Clone, Debug)]
struct Known {
    news: PlacementNews,
    at: Duration,
    source: Source,
}

/// Who told something first; only that process tells it to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This process.
    Own,
    /// Another one.
    Peer,
}

#[derive(Clone, Copy, Debug)]
struct Want {
    at: Duration,
    source: Source,
}

#[derive(Clone, Copy, Debug)]
struct Use {
    at: Duration,
    source: Source,
}

/// What requests wait for, and news of engines.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    wanted: BTreeMap<AdapterName, Want>,
    used: BTreeMap<u32, Use>,
    news: Vec<Known>,
}

fn use_key(upstream: &UpstreamName, model: &ModelName, adapter: &str) -> u32 {
    short_name(&format!("{upstream}\0{model}\0{adapter}"))
}

impl Placement {
    /// A request waits for an adapter that no engine holds; returns whether that is new.
    pub fn want(&mut self, name: AdapterName, source: Source, now: Duration) -> bool {
        self.wanted.insert(name, Want { at: now, source }).is_none()
    }

    /// The adapters that are asked for.
    pub fn wanted(&mut self, now: Duration) -> Vec<AdapterName> {
        self.wanted.retain(|_, want| now.saturating_sub(want.at) < WANT_TIME);
        self.wanted.keys().cloned().collect()
    }

    /// The adapters that requests of this process wait for.
    pub fn own_wanted(&mut self, now: Duration) -> Vec<AdapterName> {
        self.wanted.retain(|_, want| now.saturating_sub(want.at) < WANT_TIME);
        let own = self.wanted.iter().filter(|(_, want)| want.source == Source::Own);
        own.map(|(name, _)| name.clone()).collect()
    }

    /// An adapter is there, or no longer asked for.
    pub fn satisfied(&mut self, name: &AdapterName) {
        self.wanted.remove(name);
    }

    /// Takes in news; what was known of the same is replaced.
    pub fn learn(&mut self, news: PlacementNews, source: Source, now: Duration) {
        let adapter = news.adapter.clone();
        self.news.retain(|known| {
            let same = known.news.concerns(&news.upstream, &news.model, adapter.as_deref());
            !(same && known.news.sequence <= news.sequence)
                && now.saturating_sub(known.at) < NEWS_TIME
        });
        let newer = self
            .news
            .iter()
            .any(|known| known.news.concerns(&news.upstream, &news.model, adapter.as_deref()));
        if !newer {
            self.news.push(Known { news, at: now, source });
        }
    }

    /// Own news that other vms may not have yet.
    pub fn recent(&self, now: Duration, within: Duration) -> Vec<PlacementNews> {
        let own = self.news.iter().filter(|known| known.source == Source::Own);
        let fresh = own.filter(|known| now.saturating_sub(known.at) < within);
        fresh.map(|known| known.news.clone()).collect()
    }

    /// Forgets what was known of an engine.
    pub fn forget(&mut self, upstream: &UpstreamName) {
        self.news.retain(|known| known.news.upstream != *upstream);
    }

    fn news(
        &self,
        upstream: &UpstreamName,
        model: &ModelName,
        adapter: Option<&str>,
        now: Duration,
    ) -> Option<&PlacementNews> {
        let known = self.news.iter().find(|known| known.news.concerns(upstream, model, adapter))?;
        (now.saturating_sub(known.at) < NEWS_TIME).then_some(&known.news)
    }

    /// Whether requests for a model, and an adapter of it, may go to an engine, by the list and
    /// by news.
    pub fn holds(
        &self,
        listed: &Listed,
        model: &ModelName,
        adapter: Option<&str>,
        now: Duration,
    ) -> bool {
        if !listed.holds(model, None) {
            return false;
        }
        if self.news(&listed.name, model, None, now).is_some_and(|news| !news.there) {
            return false;
        }
        let Some(adapter) = adapter else {
            return true;
        };
        match self.news(&listed.name, model, Some(adapter), now) {
            Some(news) => news.there,
            None => listed.holds(model, Some(adapter)),
        }
    }

    /// A request used an adapter.
    pub fn touch(
        &mut self,
        upstream: &UpstreamName,
        model: &ModelName,
        adapter: &str,
        now: Duration,
    ) {
        let own = Use { at: now, source: Source::Own };
        self.used.insert(use_key(upstream, model, adapter), own);
    }

    /// Another vm used adapters.
    pub fn touched(&mut self, keys: Vec<u32>, now: Duration) {
        let told = Use { at: now, source: Source::Peer };
        self.used.extend(keys.into_iter().map(|key| (key, told)));
    }

    /// Adapters that this process used lately, to tell other vms.
    pub fn lately(&mut self, now: Duration, within: Duration) -> Vec<u32> {
        self.used.retain(|_, used| now.saturating_sub(used.at) < USE_TIME);
        let own = self.used.iter().filter(|(_, used)| used.source == Source::Own);
        let fresh = own.filter(|(_, used)| now.saturating_sub(used.at) < within);
        fresh.map(|(key, _)| *key).collect()
    }

    /// When an adapter was last used, as far as this process knows.
    pub fn used(&self, upstream: &UpstreamName, model: &ModelName, adapter: &str) -> Duration {
        self.used.get(&use_key(upstream, model, adapter)).map_or(Duration::ZERO, |used| used.at)
    }
}
