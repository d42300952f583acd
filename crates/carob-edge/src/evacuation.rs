//! Puts the evacuations of data centres in force.

use std::collections::BTreeSet;

use carob_platform::{KeyedRecord, evacuated_data_centre};
use carobglade::DataCentre;

use crate::edge::Edge;
use crate::turns;

/// Applies all records of the operator's topic.
pub fn apply_snapshot(edge: &Edge, records: &[KeyedRecord]) {
    let live = records.iter().filter(|record| !record.value.is_empty());
    let listed = live.filter_map(|record| evacuated_data_centre(&record.key)).collect();
    let (era, now) = (edge.store.era(), edge.now());
    edge.view.borrow_mut().evacuations.apply_snapshot(listed, era, now);
    update(edge);
}

/// Applies a record of the operator's topic; reports whether it is about an evacuation.
pub fn apply_record(edge: &Edge, record: &KeyedRecord) -> bool {
    let Some(data_centre) = evacuated_data_centre(&record.key) else {
        return false;
    };
    let evacuated = !record.value.is_empty();
    edge.view.borrow_mut().evacuations.apply_record(&data_centre, evacuated);
    update(edge);
    true
}

/// Lets the list of upstreams follow the evacuations; wakes requests and the planner if any changed.
pub fn update(edge: &Edge) {
    let mut view = edge.view.borrow_mut();
    let before = view.upstreams.evacuated().clone();
    if !view.apply_evacuations(edge.now()) {
        return;
    }
    let evacuated = view.upstreams.evacuated();
    let names: Vec<&str> = evacuated.iter().map(DataCentre::as_str).collect();
    log::warn!(target: "upstreams", data_centres = names.join(",").as_str(); "The evacuated data centres changed.");
    let back: BTreeSet<DataCentre> = before.difference(evacuated).cloned().collect();
    drop(view);
    turns::record_return(edge, &back);
    edge.on_placement_changed();
}
