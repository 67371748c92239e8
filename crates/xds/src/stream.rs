//! One stream of one proxy: what it asks for, what it holds, and what it is sent next. Pure: a driver feeds it requests
//! and asks it for the next answer whenever there is room for one, so that a slow reader gets the newest and no queue.
//!
//! What it sees to:
//! - *Make before break*: routes go out once the clusters and endpoints that they name were accepted; a cluster goes
//!   once no route that the proxy may hold names it.
//! - *Never backwards*: nothing is sent while the snapshot is older, in any part, than what the proxy holds.
//! - *One pending answer a type*; a refused one is not sent again while its bytes are the same.

use crate::resources::{Resource, ResourceSet, ResourceSnapshot, ResourceType, field, hash};
use bytes::{BufMut, Bytes, BytesMut};
use latchhaven_proxy_config::share_ledger::CanaryShares;
use latchhaven_proxy_config::version::{
    ConfigVersion, LabelParts, SignedPrefix, SignedVersion, VersionSigner, split_label,
};
use prost::encoding::{WireType, encode_key, encode_varint};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The client feature by which a proxy says that it does not know LEDS: its incremental streams get hosts within
/// their cluster's endpoints.
pub const INLINE_ENDPOINTS_FEATURE: &str = "latchhaven.whole_endpoints";
/// Names of one type that a stream may ask for: a handout has some tens.
const NAMES_MOST: usize = 1_024;
/// Bytes of one name, and of a node's id.
const NAME_MOST: usize = 512;
pub const MAX_NODE_ID_LENGTH: usize = 256;
/// Resources that a proxy may say it holds: clusters and hosts of several builds.
const HELD_MOST: usize = 20_000;
/// Builds that are gone and whose clusters a proxy that came back may keep for a while.
const GONE_MOST: usize = 8;
/// Requests with nonces that were never given, until the stream ends.
const FAULTS: u32 = 16;
/// Bytes of a proxy's words on what it refused that are kept.
const WORDS_MOST: usize = 512;

/// What a proxy asks, in both forms of the protocol.
#[derive(Clone, Debug, Default)]
pub struct SubscriptionRequest {
    pub type_url: String,
    /// The proxy's id, where it is given, and what it says of what it can.
    pub node: Option<String>,
    pub features: Vec<String>,
    /// All names of the type; incremental: those added.
    pub names: Vec<String>,
    /// Incremental: those let go.
    pub unsubscribed: Vec<String>,
    pub nonce: String,
    /// The label of what it last accepted.
    pub version: String,
    /// Incremental: what it holds from an earlier stream, with labels.
    pub initial_versions: Vec<(String, String)>,
    /// Why it refused the answer with this nonce.
    pub error: Option<String>,
}

/// Why a stream ends.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamError {
    /// What it sent cannot be.
    Invalid(String),
    /// It asks for too much.
    ResourceExhausted(String),
}

/// What a stream has learnt, for whoever decides.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEvent {
    /// It holds something of this type from before, as far as this label tells.
    Holds { resource_type: ResourceType, version: SignedVersion },
    /// It accepted routes with these shares of the trial.
    Acknowledged(CanaryShares),
    /// It refused what it was sent; the first time, with its words.
    Rejected { resource_type: ResourceType, message: String },
}

/// One answer, encoded but for the pieces being put together.
#[derive(Clone, Debug)]
pub struct StreamResponse {
    pub resource_type: ResourceType,
    pub chunks: Vec<Bytes>,
    /// The shares of the trial in it, where it holds routes.
    pub canary_shares: Option<CanaryShares>,
}

/// What a proxy holds under a name; the resource itself where it was sent on this stream.
#[derive(Clone, Debug)]
struct Held {
    hash: u64,
    resource: Option<Arc<Resource>>,
}

#[derive(Debug)]
struct Pending {
    resources: Vec<Arc<Resource>>,
    removed: Vec<String>,
    /// It replaces all that was held.
    all: bool,
    trial: Option<CanaryShares>,
    content: u64,
}

/// The state of one type.
#[derive(Debug, Default)]
struct Per {
    asked: bool,
    wild: bool,
    names: BTreeSet<String>,
    held: BTreeMap<String, Held>,
    /// Nothing older than this may be sent: the proxy held it when it came.
    guard: Option<ConfigVersion>,
    pending: Option<Pending>,
    /// The nonce of the last answer.
    nonce: String,
    /// The content that was looked at with nothing to say, until something is asked.
    settled: Option<u64>,
    /// An answer is owed though nothing changed: names were asked for.
    owed: bool,
    owed_names: BTreeSet<String>,
    /// What was refused: whole answers by content, incremental ones by resource.
    refused: Option<u64>,
    refused_apart: BTreeMap<String, u64>,
}

/// One stream.
pub struct Stream {
    incremental: bool,
    /// Hosts come as resources of their own, where operators allow it.
    apart: bool,
    only: Option<ResourceType>,
    labels: VersionSigner,
    node: Option<String>,
    kinds: BTreeMap<ResourceType, Per>,
    given: u64,
    faults: u32,
    hastened: bool,
    said: Vec<StreamEvent>,
}

/// Tells apart answers by names and contents.
fn content(resources: &[Arc<Resource>]) -> u64 {
    hash(resources.iter().flat_map(|resource| resource.name.bytes().chain(resource.hash.to_be_bytes())))
}

impl Per {
    /// It is held as it is now.
    fn holds(&self, resource: &Resource) -> bool {
        self.held.get(&resource.name).is_some_and(|held| held.hash == resource.hash)
    }

    /// It was asked for.
    fn wants(&self, name: &String) -> bool {
        self.wild || self.names.contains(name) || self.names.iter().any(|glob| globbed(glob, name))
    }

    /// The resources of a set that were asked for.
    fn wanted<'a>(&'a self, set: &'a ResourceSet) -> impl Iterator<Item = &'a Arc<Resource>> {
        set.values().filter(|resource| self.wants(&resource.name))
    }
}

impl Stream {
    /// A stream that nothing was heard on yet; `only`: it carries this one type.
    pub fn new(incremental: bool, only: Option<ResourceType>, labels: VersionSigner) -> Self {
        let (node, kinds, said) = (None, BTreeMap::new(), Vec::new());
        Stream {
            incremental,
            apart: incremental,
            only,
            labels,
            node,
            kinds,
            given: 0,
            faults: 0,
            hastened: false,
            said,
        }
    }

    /// The proxy's id, once it told it.
    pub fn node(&self) -> Option<&str> {
        self.node.as_deref()
    }

    /// What was learnt since the last call.
    pub fn take_events(&mut self) -> Vec<StreamEvent> {
        std::mem::take(&mut self.said)
    }

    /// No more requests are waited for before clusters go out: the proxy has had time to name what it holds.
    pub fn end_naming_grace(&mut self) {
        self.hastened = true;
    }

    /// Takes a request in.
    ///
    /// # Errors
    /// What cannot be answered: the stream ends with it.
    pub fn on_request(&mut self, mut ask: SubscriptionRequest) -> Result<(), StreamError> {
        if self.node.is_none() {
            let node = ask.node.take().filter(|node| !node.is_empty());
            let node = node
                .ok_or_else(|| StreamError::Invalid("node.id: missing in the first request".to_string()))?;
            if node.len() > MAX_NODE_ID_LENGTH {
                return Err(StreamError::ResourceExhausted(format!(
                    "node.id: longer than {MAX_NODE_ID_LENGTH} bytes"
                )));
            }
            self.node = Some(node);
            self.apart &= !ask.features.iter().any(|feature| feature == INLINE_ENDPOINTS_FEATURE);
        }
        let kind = match (ResourceType::from_url(&ask.type_url), self.only) {
            (Some(kind), None) if kind != ResourceType::LbEndpoint || self.incremental => kind,
            (Some(kind), Some(only)) if kind == only => kind,
            (None, Some(only)) if ask.type_url.is_empty() => only,
            _ => {
                let url: String = ask.type_url.chars().take(MAX_NODE_ID_LENGTH).collect();
                return Err(StreamError::Invalid(format!("type_url: '{url}' is not served here")));
            }
        };
        let named = ask
            .names
            .iter()
            .chain(&ask.unsubscribed)
            .chain(ask.initial_versions.iter().map(|(name, _)| name));
        if ask.names.len() > NAMES_MOST
            || ask.unsubscribed.len() > HELD_MOST
            || ask.initial_versions.len() > HELD_MOST
        {
            return Err(StreamError::ResourceExhausted(format!(
                "more than {NAMES_MOST} names asked for, or {HELD_MOST} held"
            )));
        }
        if named.into_iter().any(|name| name.len() > NAME_MOST) {
            return Err(StreamError::ResourceExhausted(format!("a name longer than {NAME_MOST} bytes")));
        }
        let first = !self.kinds.get(&kind).is_some_and(|per| per.asked);
        if first && !ask.nonce.is_empty() {
            return self.fault("response_nonce: given to nobody on this stream");
        }
        let known = !ask.nonce.is_empty() && self.kinds.get(&kind).is_some_and(|per| per.nonce == ask.nonce);
        if !ask.nonce.is_empty() && !known {
            let given = ask.nonce.parse::<u64>().is_ok_and(|number| number > 0 && number <= self.given);
            if !given {
                return self.fault("response_nonce: given to nobody on this stream");
            }
            // Of an earlier answer: a whole request is void, an incremental one still changes names.
            if !self.incremental {
                return Ok(());
            }
        }
        if first {
            self.hear_held(kind, &ask);
        }
        if known {
            self.concluded(kind, ask.error);
        }
        // Endpoints stay or go by what clusters are held.
        for kind in [kind, ResourceType::Endpoint] {
            self.kinds.entry(kind).or_default().settled = None;
        }
        let per = self.kinds.entry(kind).or_default();
        per.asked = true;
        if self.incremental {
            Self::rename_apart(per, kind, first, ask.names, ask.unsubscribed)?;
        } else {
            Self::rename(per, kind, first, ask.names);
        }
        Ok(())
    }

    fn fault(&mut self, what: &str) -> Result<(), StreamError> {
        self.faults += 1;
        if self.faults < FAULTS { Ok(()) } else { Err(StreamError::Invalid(what.to_string())) }
    }

    /// What a proxy holds from before guards its stream: nothing older is sent to it.
    fn hear_held(&mut self, kind: ResourceType, ask: &SubscriptionRequest) {
        // Hundreds of labels have a few stamps: each of these is read once.
        let mut stamps: BTreeMap<&str, Option<SignedPrefix>> = BTreeMap::new();
        let mut held = Vec::new();
        for (name, label) in
            ask.initial_versions.iter().map(|(name, label)| (Some(name), label)).chain([(None, &ask.version)])
        {
            let Some(LabelParts { prefix: stamp, content_hash: content }) = split_label(label) else {
                continue;
            };
            let told = *stamps.entry(stamp).or_insert_with(|| self.labels.parse_prefix(stamp));
            held.extend(told.and(name).map(|name| (name.clone(), Held { hash: content, resource: None })));
        }
        let joined = |signed: bool| {
            let told = stamps.values().flatten().filter(|prefix| prefix.is_signed || !signed);
            told.map(|prefix| prefix.version).reduce(|all, basis| all.join(&basis))
        };
        let (all, signed) = (joined(false), joined(true));
        let per = self.kinds.entry(kind).or_default();
        per.guard = all;
        per.held.extend(held);
        // One label for all: what is signed tells of the world, the rest of this proxy only.
        for (basis, signed) in [(all, false), (signed, true)] {
            let label =
                basis.map(|basis| SignedVersion { version: basis, content_hash: 0, is_signed: signed });
            self.said.extend(label.map(|label| StreamEvent::Holds { resource_type: kind, version: label }));
        }
    }

    /// The last answer was accepted, or refused.
    fn concluded(&mut self, kind: ResourceType, error: Option<String>) {
        let Some(per) = self.kinds.get_mut(&kind) else { return };
        let Some(pending) = per.pending.take() else { return };
        if let Some(mut words) = error {
            let again = per.refused == Some(pending.content);
            per.refused = Some(pending.content);
            let refused = pending.resources.iter().map(|resource| (resource.name.clone(), resource.hash));
            per.refused_apart.extend(refused);
            let cut = (0..=WORDS_MOST.min(words.len())).rev().find(|at| words.is_char_boundary(*at));
            words.truncate(cut.unwrap_or(0));
            if !again {
                self.said.push(StreamEvent::Rejected { resource_type: kind, message: words });
            }
            return;
        }
        if pending.all {
            per.held.clear();
        }
        for resource in pending.resources {
            per.refused_apart.remove(&resource.name);
            // Let go while the answer was on its way: the proxy has dropped it.
            if per.wants(&resource.name) {
                let held = Held { hash: resource.hash, resource: Some(resource.clone()) };
                per.held.insert(resource.name.clone(), held);
            }
        }
        pending.removed.iter().for_each(|name| drop(per.held.remove(name)));
        per.refused = None;
        self.said.extend(pending.trial.map(StreamEvent::Acknowledged));
    }

    fn rename(per: &mut Per, kind: ResourceType, first: bool, names: Vec<String>) {
        let named: BTreeSet<String> = names.into_iter().filter(|name| name != "*").collect();
        let wild = kind.is_wildcard() && named.is_empty() && (first || per.wild);
        if first || wild != per.wild || named != per.names {
            // Those no longer asked for are no longer held.
            per.held.retain(|name, _| wild || named.contains(name));
            let more = first || named.iter().any(|name| !per.names.contains(name)) || (wild && !per.wild);
            per.owed |= more;
            (per.names, per.wild) = (named, wild);
        }
    }

    fn rename_apart(
        per: &mut Per, kind: ResourceType, first: bool, names: Vec<String>, without: Vec<String>,
    ) -> Result<(), StreamError> {
        if first && names.is_empty() && kind.is_wildcard() {
            per.wild = true;
        }
        for name in names {
            if name == "*" {
                per.wild = kind.is_wildcard() || per.wild;
                continue;
            }
            // Asked for again is to be sent again, unless it was told as held on this first request.
            if !(first && per.held.contains_key(&name)) {
                per.owed_names.insert(name.clone());
            }
            per.names.insert(name);
        }
        for name in without {
            if name == "*" {
                per.wild = false;
            }
            per.names.remove(&name);
            per.owed_names.remove(&name);
            if !per.wild {
                per.held.retain(|held, _| *held != name && !globbed(&name, held));
            }
        }
        if per.names.len() > NAMES_MOST {
            return Err(StreamError::ResourceExhausted(format!("more than {NAMES_MOST} names asked for")));
        }
        Ok(())
    }

    /// The next answer, if there is one that may be sent now.
    pub fn next_response(&mut self, snapshot: &ResourceSnapshot) -> Option<StreamResponse> {
        ResourceType::ALL.into_iter().find_map(|kind| self.next_of(kind, snapshot))
    }

    /// A type of which something that was asked for is not held as the snapshot has it, or is not known to be.
    pub fn first_pending_type(&self, snapshot: &ResourceSnapshot) -> Option<ResourceType> {
        let asked = self.kinds.iter().filter(|(_, per)| per.asked);
        let behind = |(kind, per): &(&ResourceType, &Per)| {
            let (_, set) = snapshot.resources(**kind, self.apart);
            per.pending.is_some() || !per.wanted(set).all(|new| per.holds(new))
        };
        asked.into_iter().find(behind).map(|(kind, _)| *kind)
    }

    fn next_of(&mut self, kind: ResourceType, snapshot: &ResourceSnapshot) -> Option<StreamResponse> {
        let per = self.kinds.get(&kind)?;
        if !per.asked
            || per.pending.is_some()
            || per.guard.is_some_and(|held| !snapshot.version.dominates(&held))
        {
            return None;
        }
        if kind == ResourceType::Route && !self.grounded(snapshot) {
            return None;
        }
        // A proxy that came back tells which endpoints it holds: clusters that its routes name must not go first.
        let named = self.kinds.get(&ResourceType::Endpoint).is_some_and(|per| per.asked);
        let waits =
            kind == ResourceType::Cluster && !self.incremental && self.only.is_none() && per.guard.is_some();
        if waits && !named && !self.hastened {
            return None;
        }
        let (sum, set) = snapshot.resources(kind, self.apart);
        // Most looks are at what was looked at before; clusters go by the routes that are held as well.
        if per.settled == Some(sum) && kind != ResourceType::Cluster {
            return None;
        }
        let kept = if kind == ResourceType::Cluster { self.referred(snapshot) } else { None };
        let keeps = |name: &String| match (kind, &kept) {
            (ResourceType::Cluster, None) => true,
            (ResourceType::Cluster, Some(kept)) => kept.contains(name),
            // Endpoints stay as long as their cluster does.
            (ResourceType::Endpoint, _) => self.kinds.get(&ResourceType::Cluster).is_some_and(|clusters| {
                clusters.held.iter().any(|(cluster, held)| match &held.resource {
                    Some(resource) => resource.references.contains(name),
                    // Held from an earlier stream: its name tells as much.
                    None => cluster.split_once('/').is_some_and(|(build, _)| build == name),
                })
            }),
            _ => false,
        };
        let answer = if self.incremental {
            self.apart(kind, set, keeps)
        } else {
            self.whole(kind, snapshot, set, keeps)
        };
        let Some((resources, removed, all)) = answer else {
            // Routes that were held all along count as accepted.
            let per = self.kinds.get_mut(&kind)?;
            if kind == ResourceType::Route
                && per.guard.take().is_some()
                && per.wanted(set).all(|new| per.holds(new))
                && !per.held.is_empty()
            {
                self.said.push(StreamEvent::Acknowledged(snapshot.canary_shares.clone()));
            }
            per.settled = Some(sum);
            return None;
        };
        self.given += 1;
        let nonce = self.given.to_string();
        let trial = (kind == ResourceType::Route).then(|| snapshot.canary_shares.clone());
        let pieces = pieces(kind, self.incremental, snapshot, sum, &resources, &removed, &nonce);
        let per = self.kinds.get_mut(&kind)?;
        (per.nonce, per.owed, per.guard) = (nonce, false, None);
        per.owed_names.clear();
        let content = content(&resources);
        per.pending = Some(Pending { resources, removed, all, trial: trial.clone(), content });
        Some(StreamResponse { resource_type: kind, chunks: pieces, canary_shares: trial })
    }

    /// A whole answer: for types without names everything, for others what is new.
    fn whole(
        &self, kind: ResourceType, snapshot: &ResourceSnapshot, set: &ResourceSet,
        keeps: impl Fn(&String) -> bool,
    ) -> Option<(Vec<Arc<Resource>>, Vec<String>, bool)> {
        let per = &self.kinds[&kind];
        if !kind.is_wildcard() {
            let new: Vec<_> = per.wanted(set).filter(|new| per.owed || !per.holds(new)).cloned().collect();
            let refused = per.refused == Some(content(&new));
            return (!new.is_empty() && !refused).then_some((new, Vec::new(), false));
        }
        let mut all: Vec<_> = per.wanted(set).cloned().collect();
        let gone = per.held.iter().filter(|(name, _)| !set.contains_key(*name));
        let stays = gone.filter(|(name, _)| keeps(name)).filter_map(|(_, held)| held.resource.clone());
        all.extend(stays);
        if kind == ResourceType::Cluster && per.wild {
            let named = self.kinds.get(&ResourceType::Endpoint).into_iter().flat_map(|per| &per.names);
            let (_, endpoints) = snapshot.resources(ResourceType::Endpoint, false);
            let gone = named.filter(|name| !endpoints.contains_key(*name)).take(GONE_MOST);
            for cluster in gone.flat_map(|name| snapshot.retired_clusters(name)) {
                if keeps(&cluster.name) && !all.iter().any(|kept| kept.name == cluster.name) {
                    all.push(cluster);
                }
            }
            all.sort_by(|a, b| a.name.cmp(&b.name));
        }
        let same = all.len() == per.held.len() && all.iter().all(|new| per.holds(new));
        let refused = per.refused == Some(content(&all));
        ((per.owed || !same) && !refused).then_some((all, Vec::new(), true))
    }

    /// An incremental answer: what changed, and what is gone.
    fn apart(
        &self, kind: ResourceType, set: &ResourceSet, keeps: impl Fn(&String) -> bool,
    ) -> Option<(Vec<Arc<Resource>>, Vec<String>, bool)> {
        let per = &self.kinds[&kind];
        let owed = |name: &String| per.owed_names.iter().any(|owed| owed == name || globbed(owed, name));
        let fresh = |new: &&Arc<Resource>| {
            let refused = per.refused_apart.get(&new.name) == Some(&new.hash);
            (!per.holds(new) || owed(&new.name)) && !refused
        };
        let new: Vec<_> = per.wanted(set).filter(fresh).cloned().collect();
        let gone = per.held.keys().filter(|name| !set.contains_key(*name) && !keeps(name));
        let absent = per.owed_names.iter().filter(|name| !name.ends_with('*') && !set.contains_key(*name));
        let removed: BTreeSet<String> = gone.chain(absent).cloned().collect();
        (!new.is_empty() || !removed.is_empty()).then_some((new, removed.into_iter().collect(), false))
    }

    /// All clusters that the new routes name were accepted, with their endpoints. Where clusters are no matter of
    /// this stream, nothing is known of them.
    fn grounded(&self, snapshot: &ResourceSnapshot) -> bool {
        if self.only.is_some() || !self.kinds.get(&ResourceType::Cluster).is_some_and(|per| per.asked) {
            return true;
        }
        let (_, routes) = snapshot.resources(ResourceType::Route, self.apart);
        let (_, clusters) = snapshot.resources(ResourceType::Cluster, self.apart);
        let (_, endpoints) = snapshot.resources(ResourceType::Endpoint, self.apart);
        let holds = |kind: ResourceType, name: &String| {
            self.kinds.get(&kind).is_some_and(|per| per.held.contains_key(name))
        };
        let hosted = |prefix: &String| {
            let hosts = self.kinds.get(&ResourceType::LbEndpoint);
            hosts.is_some_and(|per| {
                per.held.range(prefix.clone()..).next().is_some_and(|(name, _)| name.starts_with(prefix))
            })
        };
        routes.values().flat_map(|routes| &routes.references).all(|name| {
            let service = clusters.get(name).map(|cluster| &cluster.references);
            let fed = service.into_iter().flatten().all(|service| {
                let apart = endpoints.get(service).into_iter().flat_map(|endpoints| &endpoints.references);
                holds(ResourceType::Endpoint, service) && apart.into_iter().all(hosted)
            });
            holds(ResourceType::Cluster, name) && fed
        })
    }

    /// The clusters that routes name which the proxy holds, or may soon; none: it may hold any.
    fn referred(&self, snapshot: &ResourceSnapshot) -> Option<BTreeSet<String>> {
        let per = self.kinds.get(&ResourceType::Route).filter(|per| per.asked)?;
        let mut names = BTreeSet::new();
        let (_, routes) = snapshot.resources(ResourceType::Route, self.apart);
        for (name, held) in &per.held {
            let same = routes.get(name).filter(|new| new.hash == held.hash);
            names.extend(held.resource.as_ref().or(same)?.references.iter().cloned());
        }
        // Before it holds any routes of this stream it may go on by those of an earlier one.
        if per.held.is_empty() {
            return None;
        }
        let pending = per.pending.iter().flat_map(|pending| &pending.resources);
        pending.for_each(|resource| names.extend(resource.references.iter().cloned()));
        Some(names)
    }
}

/// True where a glob collection has this name.
fn globbed(glob: &str, name: &str) -> bool {
    glob.strip_suffix('*').is_some_and(|prefix| prefix.ends_with('/') && name.starts_with(prefix))
}

/// An answer on the wire. Resources come first: they are shared, and the order of fields is free.
fn pieces(
    kind: ResourceType, incremental: bool, snapshot: &ResourceSnapshot, all: u64,
    resources: &[Arc<Resource>], removed: &[String], nonce: &str,
) -> Vec<Bytes> {
    let mut pieces = Vec::with_capacity(2 * resources.len() + 1);
    for resource in resources {
        if incremental {
            // Resource: version 1, resource 2, name 3; the shared bytes are its field 2 already.
            let mut inner = BytesMut::new();
            field(1, snapshot.version_label(resource.hash).as_bytes(), &mut inner);
            field(3, resource.name.as_bytes(), &mut inner);
            let mut head = BytesMut::new();
            encode_key(2, WireType::LengthDelimited, &mut head);
            encode_varint((inner.len() + resource.any.len()) as u64, &mut head);
            head.put_slice(&inner);
            pieces.push(head.freeze());
        }
        pieces.push(resource.any.clone());
    }
    // DiscoveryResponse: version_info 1, type_url 4, nonce 5. DeltaDiscoveryResponse: system_version_info 1,
    // type_url 4, nonce 5, removed_resources 6.
    let mut rest = BytesMut::new();
    field(1, snapshot.version_label(all).as_bytes(), &mut rest);
    field(4, kind.url().as_bytes(), &mut rest);
    field(5, nonce.as_bytes(), &mut rest);
    if incremental {
        removed.iter().for_each(|name| field(6, name.as_bytes(), &mut rest));
    }
    pieces.push(rest.freeze());
    pieces
}
