//! Decides which events of a response a caller may be given, by the ids of the events before them.

use std::fmt::{self, Display};

use super::id_distances::IdDistances;

/// The distance between the ids of a stream's events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum IdStep {
    /// At most one event is known.
    #[default]
    Unknown,
    /// Each id is larger than the one before by this number.
    Every(u64),
    /// Each id is larger than the one before by at most this number.
    AtMost(u64),
    /// The distances differ.
    Uneven,
}

/// Where a stream is continued: after the last event that the caller has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamPoint {
    /// Id of that event.
    pub last_id: u64,
    /// Distance between the ids up to there.
    pub step: IdStep,
}

impl StreamPoint {
    /// Returns the point after the event `last_id`, while no other event of the stream is known.
    pub fn after(last_id: u64) -> Self {
        StreamPoint { last_id, step: IdStep::Unknown }
    }

    /// Returns the point with what other streams of the same source tell of the distance between ids.
    /// It counts where the events of this stream do not tell, or the others show larger distances.
    pub fn with_source(self, source: IdStep) -> Self {
        let step = match (self.step, source) {
            (IdStep::Unknown, told) => told,
            (IdStep::Every(own), IdStep::AtMost(most)) if most > own => source,
            (own, _) => own,
        };
        StreamPoint { step, ..self }
    }

    /// Reports whether the event `id` may come next. While the distance between ids is not known, that
    /// is one alone.
    fn is_next(self, id: u64) -> bool {
        match self.step {
            IdStep::Unknown => self.last_id.checked_add(1) == Some(id),
            IdStep::Every(step) => self.last_id.checked_add(step) == Some(id),
            IdStep::AtMost(step) => id > self.last_id && id - self.last_id <= step,
            IdStep::Uneven => id > self.last_id,
        }
    }

    /// Finds the distance between ids by those that follow in a response, of which more may come.
    fn find_step(self, ids: &[u64]) -> FoundStep {
        let mut before = self.last_id;
        let mut distances = Vec::new();
        for id in ids.iter().take(EVIDENCE_COUNT) {
            match id.checked_sub(before) {
                None | Some(0) => return FoundStep::Refused,
                Some(distance) => distances.push(distance),
            }
            before = *id;
        }
        match distances[..] {
            [1, ..] => FoundStep::Known(IdStep::Every(1)),
            [first, second, ..] if first == second => FoundStep::Known(IdStep::Every(first)),
            // After a gap the distances are smaller than that from the event before it.
            [first, second, ..] if first < second => FoundStep::Known(IdStep::Uneven),
            [_, second, third] if second == third => FoundStep::Refused,
            [_, _, _] => FoundStep::Known(IdStep::Uneven),
            _ => FoundStep::Undecided,
        }
    }

    /// Returns the point after the event `id`, which follows.
    fn advance(self, id: u64) -> Self {
        let distance = IdStep::Every(id.saturating_sub(self.last_id));
        let step = match self.step {
            IdStep::AtMost(_) => self.step,
            IdStep::Unknown if id > self.last_id => distance,
            known if known == distance => known,
            _ => IdStep::Uneven,
        };
        StreamPoint { last_id: id, step }
    }
}

/// Events of a response that tell the distance between ids, at most.
const EVIDENCE_COUNT: usize = 3;

/// What the first events of a response tell of the distance between ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FoundStep {
    Known(IdStep),
    /// More events are needed.
    Undecided,
    /// The events do not follow the one before them.
    Refused,
}

/// What the events of a response are checked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EventCheck {
    /// Nothing: the response is an upstream's own, and whole by its framing.
    #[default]
    None,
    /// Each event after the first one with an id has a larger id. This is for a response that ends
    /// with its connection: what lies behind it belongs to nobody.
    Increasing,
    /// Each event is the next one of the stream.
    Next,
}

/// Error for bytes that are not the next event of their stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotNext;

impl Display for NotNext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response does not go on with the next event")
    }
}

impl std::error::Error for NotNext {}

/// Follows the ids of a response's events.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventSequence {
    check: EventCheck,
    point: Option<StreamPoint>,
    event_count: u64,
    /// Whether the last events were kept back only because too few have come to judge them.
    undecided: bool,
    /// Distances between events since they were last taken.
    distances: IdDistances,
}

/// What the lines of an event say.
#[derive(Clone, Copy, Debug)]
struct EventLines {
    /// The last numeric id.
    id: Option<u64>,
    /// Lines that name an id.
    id_lines: usize,
    /// Lines that are not comments.
    fields: usize,
    /// Whether each line is a field or a comment.
    well_formed: bool,
}

impl EventSequence {
    /// Creates a sequence for a response that begins a stream.
    pub fn new(check: EventCheck) -> Self {
        EventSequence { check, ..EventSequence::default() }
    }

    /// Creates a sequence for a response that continues a stream at `point`.
    pub fn continuing(point: StreamPoint) -> Self {
        let check = EventCheck::Next;
        EventSequence { check, point: Some(point), ..EventSequence::default() }
    }

    /// Records whole events.
    ///
    /// # Errors
    ///
    /// Returns the length of the events before the first one that the caller may not be given, or not
    /// yet; [`EventSequence::is_undecided`] tells which.
    pub fn record(&mut self, events: &[u8]) -> Result<(), usize> {
        let mut done = 0;
        self.undecided = false;
        while done < events.len() {
            let end = done + event_len(&events[done..]);
            self.learn_step(&events[done..]).map_err(|_| done)?;
            self.record_event(&events[done..end]).map_err(|_| done)?;
            done = end;
        }
        Ok(())
    }

    /// Learns the distance between ids from events that go on where it is not known.
    fn learn_step(&mut self, events: &[u8]) -> Result<(), NotNext> {
        let Some(point) = self.point.filter(|point| point.step == IdStep::Unknown) else {
            return Ok(());
        };
        if self.check != EventCheck::Next
            || !EventLines::read(&events[..event_len(events)]).is_event()
        {
            return Ok(());
        }
        let (ids, are_all) = leading_ids(events);
        match point.find_step(&ids) {
            FoundStep::Known(step) => {
                self.point = Some(StreamPoint { step, ..point });
                Ok(())
            }
            FoundStep::Undecided => {
                self.undecided = are_all;
                Err(NotNext)
            }
            FoundStep::Refused => Err(NotNext),
        }
    }

    fn record_event(&mut self, event: &[u8]) -> Result<(), NotNext> {
        let lines = EventLines::read(event);
        if !self.allows(&lines) {
            return Err(NotNext);
        }
        if let Some(id) = lines.id {
            self.record_distance(id);
            let known = self.point.map(|point| point.advance(id));
            self.point = Some(known.unwrap_or_else(|| StreamPoint::after(id)));
            self.event_count += 1;
        }
        Ok(())
    }

    /// Records the distance from the event before in this response. That from the point at which the
    /// stream goes on tells nothing, since a caller may name any event.
    fn record_distance(&mut self, id: u64) {
        let before = self.point.filter(|_| self.event_count > 0);
        let distance = before.and_then(|point| id.checked_sub(point.last_id));
        if let Some(distance) = distance.filter(|distance| *distance > 0) {
            self.distances.record(distance);
        }
    }

    fn allows(&self, lines: &EventLines) -> bool {
        let Some(point) = self.point.filter(|_| self.check != EventCheck::None) else {
            return true;
        };
        if lines.fields == 0 {
            return true;
        }
        let Some(id) = lines.id.filter(|_| lines.is_event()) else {
            return false;
        };
        match self.check {
            EventCheck::Next => point.is_next(id),
            _ => id > point.last_id,
        }
    }

    /// Returns the point after the last event with a numeric id; before the first one, the point at
    /// which the stream is continued.
    pub fn point(&self) -> Option<StreamPoint> {
        self.point
    }

    /// Returns the number of events with a numeric id.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Reports whether events were kept back only because more have to come before they can be judged.
    pub fn is_undecided(&self) -> bool {
        self.undecided
    }

    /// Returns the distances between the events since the last call.
    pub fn take_distances(&mut self) -> IdDistances {
        std::mem::take(&mut self.distances)
    }

    /// Reports whether an event must come before anything else may be given to the caller.
    pub fn awaits_event(&self) -> bool {
        self.check == EventCheck::Next && self.event_count == 0
    }
}

impl EventLines {
    fn read(event: &[u8]) -> Self {
        let mut lines = EventLines { id: None, id_lines: 0, fields: 0, well_formed: true };
        for line in event.split(|byte| *byte == b'\n') {
            lines.record(line.strip_suffix(b"\r").unwrap_or(line));
        }
        lines
    }

    /// Reports whether the lines are an event with one numeric id.
    fn is_event(&self) -> bool {
        self.well_formed && self.id_lines == 1 && self.id.is_some()
    }

    fn record(&mut self, line: &[u8]) {
        if line.is_empty() || line.starts_with(b":") {
            return;
        }
        self.fields += 1;
        self.well_formed &= is_field(line);
        let Some(value) = line.strip_prefix(b"id:") else {
            return;
        };
        self.id_lines += 1;
        let text = std::str::from_utf8(value).unwrap_or_default();
        if let Ok(id) = text.trim().parse() {
            self.id = Some(id);
        }
    }
}

/// Returns the ids of the first events, as many as tell the distance between ids, and whether nothing
/// stands between or behind them but comments.
fn leading_ids(events: &[u8]) -> (Vec<u64>, bool) {
    let mut ids = Vec::new();
    let mut rest = events;
    while !rest.is_empty() && ids.len() < EVIDENCE_COUNT {
        let (event, behind) = rest.split_at(event_len(rest));
        let lines = EventLines::read(event);
        if lines.fields > 0 && !lines.is_event() {
            return (ids, false);
        }
        ids.extend(lines.id);
        rest = behind;
    }
    (ids, true)
}

/// Reports whether a line is a field: a name of letters, digits and hyphens, and a value after a
/// colon if it has one.
fn is_field(line: &[u8]) -> bool {
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    name.iter().all(|byte| byte.is_ascii_alphanumeric() || *byte == b'-')
}

/// Returns the length of the first event, with the blank line that ends it.
fn event_len(events: &[u8]) -> usize {
    let mut line_start = 0;
    for (at, byte) in events.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        if matches!(&events[line_start..at], b"" | b"\r") {
            return at + 1;
        }
        line_start = at + 1;
    }
    events.len()
}
