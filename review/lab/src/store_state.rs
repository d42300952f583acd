//! What the stand-in of the platform's store holds: keyed topics and groups.

use std::collections::BTreeMap;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

/// Partitions of a topic, as the settings tell.
pub const PARTITIONS: u32 = 8;

/// A partition: the records of a topic, which all lie in partition 0.
#[derive(Clone, Debug, Default)]
struct Topic {
    /// Keys and values; the key is empty in a topic without keys.
    records: Vec<(Vec<u8>, Vec<u8>)>,
}

/// A member of a group.
#[derive(Clone, Copy, Debug)]
struct Member {
    ttl: Duration,
    expires_at: Duration,
}

/// A group that deals the partitions evenly over its members.
#[derive(Clone, Debug, Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
}

/// The whole content of the store. A clone of it is a copy from which the store may come back.
#[derive(Clone, Debug, Default)]
pub struct StoreState {
    topics: BTreeMap<String, Topic>,
    groups: BTreeMap<String, Group>,
}

/// A read from an offset that the store does not have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfRange;

impl Group {
    fn expire(&mut self, now: Duration) {
        let before = self.members.len();
        self.members.retain(|_, member| now < member.expires_at);
        self.generation += u64::from(self.members.len() != before);
    }

    fn owner(&self, partition: u32) -> Option<&String> {
        let count = self.members.len().max(1) as u32;
        self.members.keys().nth((partition % count) as usize)
    }
}

impl StoreState {
    /// Appends a record of a keyed topic; an empty value drops the key.
    pub fn put(&mut self, topic: &str, key: &str, value: &[u8]) {
        let topic = self.topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.as_bytes().to_vec(), value.to_vec()));
    }

    /// Appends encoded records; returns the offset of the first one and the end.
    pub fn append(&mut self, name: &str, body: &[u8]) -> (u64, u64) {
        let topic = self.topics.entry(name.to_owned()).or_default();
        let offset = topic.records.len() as u64;
        topic.records.extend(parse_records(body, name.starts_with("keyed.")));
        (offset, topic.records.len() as u64)
    }

    /// Returns the response body of a read, and whether it holds records.
    ///
    /// # Errors
    ///
    /// Returns `OutOfRange` for an offset beyond the end.
    pub fn read(&self, name: &str, from: u64) -> Result<(Vec<u8>, bool), OutOfRange> {
        let records = self.topics.get(name).map_or(&[][..], |topic| &topic.records);
        let end = records.len() as u64;
        if from > end {
            return Err(OutOfRange);
        }
        let mut body = end.to_be_bytes().to_vec();
        body.extend_from_slice(&0u64.to_be_bytes());
        for (key, value) in &records[from as usize..] {
            encode_record(&mut body, name.starts_with("keyed."), key, value);
        }
        Ok((body, from < end))
    }

    /// Returns the newest record of each key, on one page.
    pub fn newest(&self, name: &str) -> Value {
        let records = self.topics.get(name).map_or(&[][..], |topic| &topic.records);
        let mut latest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            latest.insert(key, (offset, value));
        }
        let live = latest.into_iter().filter(|(_, (_, value))| !value.is_empty());
        let items = live.map(|(key, (offset, value))| {
            let key = String::from_utf8_lossy(key);
            json!({ "key": key, "value": STANDARD.encode(value), "offset": offset })
        });
        let items: Vec<Value> = items.collect();
        json!({ "items": items, "has_more": false, "end": records.len() })
    }

    /// Joins a group or keeps the member in it; returns the generation and the member's partitions.
    pub fn join(
        &mut self,
        group: &str,
        member: &str,
        ttl: Duration,
        now: Duration,
    ) -> (u64, Vec<u32>) {
        let group = self.groups.entry(group.to_owned()).or_default();
        group.expire(now);
        let entry = Member { ttl, expires_at: now + ttl };
        group.generation += u64::from(group.members.insert(member.to_owned(), entry).is_none());
        let owns = |part: &u32| group.owner(*part).is_some_and(|owner| owner == member);
        (group.generation, (0..PARTITIONS).filter(owns).collect())
    }

    /// Removes a member from a group.
    pub fn leave(&mut self, group: &str, member: &str) {
        if let Some(group) = self.groups.get_mut(group) {
            group.generation += u64::from(group.members.remove(member).is_some());
        }
    }

    /// Returns the rows of a group's partitions with their owners.
    pub fn owners(&mut self, name: &str, now: Duration) -> Vec<Value> {
        let Some(group) = self.groups.get_mut(name) else {
            return Vec::new();
        };
        group.expire(now);
        let rows = (0..PARTITIONS).filter_map(|part| Some((part, group.owner(part)?)));
        rows.map(|(part, member)| json!([name, part, member, 0])).collect()
    }

    /// Returns the generation and the members of each group, for the record.
    pub fn describe_groups(&self) -> String {
        let group = |(name, group): (&String, &Group)| {
            let members: Vec<&String> = group.members.keys().collect();
            format!("{name}: generation {}, members {members:?}", group.generation)
        };
        self.groups.iter().map(group).collect::<Vec<String>>().join("; ")
    }

    /// Returns the end of a topic.
    pub fn end(&self, name: &str) -> u64 {
        self.topics.get(name).map_or(0, |topic| topic.records.len() as u64)
    }

    /// Lets the times of all members start again: they paused while the store was down.
    pub fn restart_times(&mut self, now: Duration) {
        for member in self.groups.values_mut().flat_map(|group| group.members.values_mut()) {
            member.expires_at = now + member.ttl;
        }
    }
}

fn encode_record(body: &mut Vec<u8>, keyed: bool, key: &[u8], value: &[u8]) {
    let content = usize::from(keyed) + key.len() + value.len();
    body.extend_from_slice(&(content as u32).to_be_bytes());
    if keyed {
        body.push(key.len() as u8);
        body.extend_from_slice(key);
    }
    body.extend_from_slice(value);
}

fn parse_records(body: &[u8], keyed: bool) -> Vec<(Vec<u8>, Vec<u8>)> {
    let mut records = Vec::new();
    let mut rest = body;
    while let Some((head, tail)) = rest.split_at_checked(4) {
        let len = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let Some((content, after)) = tail.split_at_checked(len) else {
            break;
        };
        rest = after;
        let key_len = content.first().filter(|_| keyed).map(|len| usize::from(*len));
        records.push(match key_len {
            Some(len) => (content[1..=len].to_vec(), content[len + 1..].to_vec()),
            None => (Vec::new(), content.to_vec()),
        });
    }
    records
}
