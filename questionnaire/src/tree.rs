//! YAML as a tree with places. Reading the tree rather than typed structs directly lets one run
//! report every fault; a typed deserializer stops at the first.

use std::fmt;

use serde::de::{self, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_saphyr::{Location, Spanned};

use crate::error::{Diagnostic, DiagnosticCode};

/// A YAML value with its place.
pub(crate) type PlacedNode = Spanned<AnswerNode>;

/// A YAML value.
#[derive(Debug, Clone)]
pub(crate) enum AnswerNode {
    Null,
    Flag(bool),
    Number(u64),
    /// A negative or fractional number, which no question asks for.
    OtherNumber,
    Text(String),
    List(Vec<PlacedNode>),
    Map(Vec<(Spanned<String>, PlacedNode)>),
}

impl AnswerNode {
    fn kind(&self) -> &'static str {
        match self {
            AnswerNode::Null => "nothing",
            AnswerNode::Flag(_) => "true or false",
            AnswerNode::Number(_) => "a number",
            AnswerNode::OtherNumber => "a negative or fractional number",
            AnswerNode::Text(_) => "a text",
            AnswerNode::List(_) => "a list",
            AnswerNode::Map(_) => "a mapping",
        }
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = AnswerNode;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_bool<E: de::Error>(self, flag: bool) -> Result<AnswerNode, E> {
        Ok(AnswerNode::Flag(flag))
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> Result<AnswerNode, E> {
        Ok(AnswerNode::Number(number))
    }

    fn visit_i64<E: de::Error>(self, number: i64) -> Result<AnswerNode, E> {
        Ok(u64::try_from(number).map_or(AnswerNode::OtherNumber, AnswerNode::Number))
    }

    fn visit_f64<E: de::Error>(self, _: f64) -> Result<AnswerNode, E> {
        Ok(AnswerNode::OtherNumber)
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<AnswerNode, E> {
        Ok(AnswerNode::Text(text.to_owned()))
    }

    fn visit_unit<E: de::Error>(self) -> Result<AnswerNode, E> {
        Ok(AnswerNode::Null)
    }

    fn visit_none<E: de::Error>(self) -> Result<AnswerNode, E> {
        Ok(AnswerNode::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<AnswerNode, D::Error> {
        deserializer.deserialize_any(self)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<AnswerNode, A::Error> {
        let mut nodes = Vec::new();
        while let Some(node) = seq.next_element()? {
            nodes.push(node);
        }
        Ok(AnswerNode::List(nodes))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<AnswerNode, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(AnswerNode::Map(entries))
    }
}

impl<'de> Deserialize<'de> for AnswerNode {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<AnswerNode, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

/// Largest number of YAML nodes. A fleet of 15,000 targets listed one by one has about 260,000.
const NODE_LIMIT: usize = 2_000_000;

/// Parses `text` as one YAML document.
pub(crate) fn parse_tree(text: &str) -> Result<PlacedNode, Diagnostic> {
    let options = serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_nodes: NODE_LIMIT,
            max_events: 2 * NODE_LIMIT,
        },
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|err| broken_yaml(&err))
}

fn broken_yaml(err: &serde_saphyr::Error) -> Diagnostic {
    let place = err.location().unwrap_or(Location::UNKNOWN);
    let message = match err.without_snippet() {
        serde_saphyr::Error::DuplicateMappingKey { key: Some(key), .. } => {
            format!("key `{key}` occurs twice; delete one of them")
        }
        other => format!("{other}; correct the line"),
    };
    Diagnostic::new(DiagnosticCode::BrokenYaml, place, message)
}

/// Reads the answers of one mapping and collects the faults. A faulty answer is replaced by a
/// default without a place, so that reading goes on.
pub(crate) struct MapReader<'a> {
    place: Location,
    entries: &'a [(Spanned<String>, PlacedNode)],
    known: Vec<&'static str>,
    faults: &'a mut Vec<Diagnostic>,
}

impl<'a> MapReader<'a> {
    pub(crate) fn new(node: &'a PlacedNode, faults: &'a mut Vec<Diagnostic>) -> MapReader<'a> {
        let place = node.referenced;
        let entries: &[_] = match &node.value {
            AnswerNode::Map(entries) => entries,
            other => {
                faults.push(wrong_kind(place, "the entry", other, "a mapping of keys to answers"));
                // Without this the missing keys would be reported as well.
                return MapReader { place: Location::UNKNOWN, entries: &[], known: vec![], faults };
            }
        };
        MapReader { place, entries, known: Vec::new(), faults }
    }

    fn fail(&mut self, code: DiagnosticCode, place: Location, message: impl Into<String>) {
        self.faults.push(Diagnostic::new(code, place, message));
    }

    /// The answer under `key`, if given.
    pub(crate) fn find(&mut self, key: &'static str) -> Option<&'a PlacedNode> {
        if !self.known.contains(&key) {
            self.known.push(key);
        }
        let entry = self.entries.iter().find(|(name, _)| name.value == key)?;
        Some(&entry.1)
    }

    fn require(&mut self, key: &'static str, kind: &str) -> Option<&'a PlacedNode> {
        let node = self.find(key);
        if node.is_none() && self.place != Location::UNKNOWN {
            let message = format!("`{key}` is missing; write `{key}: ` with {kind}");
            self.fail(DiagnosticCode::MissingAnswer, self.place, message);
        }
        node
    }

    fn refuse(&mut self, key: &str, node: &PlacedNode, kind: &str) {
        let fault = wrong_kind(node.referenced, &format!("`{key}`"), &node.value, kind);
        self.faults.push(fault);
    }

    pub(crate) fn text(&mut self, key: &'static str) -> Spanned<String> {
        let kind = "a text";
        let Some(node) = self.require(key, kind) else { return hole(String::new()) };
        match &node.value {
            AnswerNode::Text(text) => placed(text.clone(), node.referenced),
            _ => {
                self.refuse(key, node, kind);
                hole(String::new())
            }
        }
    }

    pub(crate) fn number(&mut self, key: &'static str) -> Spanned<u64> {
        let kind = "a whole number";
        let Some(node) = self.require(key, kind) else { return hole(0) };
        match node.value {
            AnswerNode::Number(number) => placed(number, node.referenced),
            _ => {
                self.refuse(key, node, kind);
                hole(0)
            }
        }
    }

    pub(crate) fn optional_number(&mut self, key: &'static str) -> Option<Spanned<u64>> {
        self.find(key)?;
        Some(self.number(key))
    }

    pub(crate) fn count(&mut self, key: &'static str) -> Spanned<u32> {
        let number = self.number(key);
        match u32::try_from(number.value) {
            Ok(count) => placed(count, number.referenced),
            Err(_) => {
                let message = format!("`{key}` is {}; write at most {}", number.value, u32::MAX);
                self.fail(DiagnosticCode::WrongKind, number.referenced, message);
                hole(0)
            }
        }
    }

    pub(crate) fn flag(&mut self, key: &'static str) -> Spanned<bool> {
        let kind = "true or false";
        let Some(node) = self.require(key, kind) else { return hole(false) };
        match node.value {
            AnswerNode::Flag(flag) => placed(flag, node.referenced),
            _ => {
                self.refuse(key, node, kind);
                hole(false)
            }
        }
    }

    /// Reads a text and parses it; `kind` names what is expected.
    pub(crate) fn parsed<T>(
        &mut self,
        key: &'static str,
        kind: &str,
        code: DiagnosticCode,
        parse: impl Fn(&str) -> Option<T>,
        fallback: T,
    ) -> Spanned<T> {
        let Some(node) = self.require(key, kind) else { return hole(fallback) };
        let AnswerNode::Text(text) = &node.value else {
            self.refuse(key, node, kind);
            return hole(fallback);
        };
        match parse(text) {
            Some(value) => placed(value, node.referenced),
            None => {
                let message = format!("`{key}` is `{text}`; write {kind}");
                self.fail(code, node.referenced, message);
                hole(fallback)
            }
        }
    }

    pub(crate) fn list<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&'a PlacedNode, &mut Vec<Diagnostic>) -> T,
    ) -> Spanned<Vec<T>> {
        match self.require(key, "a list") {
            Some(node) => self.items(key, node, read),
            None => hole(Vec::new()),
        }
    }

    /// A list that may be left out.
    pub(crate) fn optional_list<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&'a PlacedNode, &mut Vec<Diagnostic>) -> T,
    ) -> Spanned<Vec<T>> {
        match self.find(key) {
            Some(node) => self.items(key, node, read),
            None => hole(Vec::new()),
        }
    }

    fn items<T>(
        &mut self,
        key: &str,
        node: &'a PlacedNode,
        read: impl Fn(&'a PlacedNode, &mut Vec<Diagnostic>) -> T,
    ) -> Spanned<Vec<T>> {
        let AnswerNode::List(nodes) = &node.value else {
            self.refuse(key, node, "a list");
            return hole(Vec::new());
        };
        let items = nodes.iter().map(|item| read(item, self.faults)).collect();
        placed(items, node.referenced)
    }

    /// Reports the keys that no question asks for.
    pub(crate) fn finish(self) {
        for (key, _) in self.entries {
            if !self.known.contains(&key.value.as_str()) {
                let message = format!(
                    "`{}` is not a question; write one of {}",
                    key.value,
                    self.known.join(", ")
                );
                self.faults.push(Diagnostic::new(
                    DiagnosticCode::UnknownKey,
                    key.referenced,
                    message,
                ));
            }
        }
    }
}

/// Reads an item of a list of texts.
pub(crate) fn read_text(node: &PlacedNode, faults: &mut Vec<Diagnostic>) -> Spanned<String> {
    match &node.value {
        AnswerNode::Text(text) => placed(text.clone(), node.referenced),
        other => {
            faults.push(wrong_kind(node.referenced, "the item", other, "a text"));
            hole(String::new())
        }
    }
}

/// A value with a place.
pub(crate) fn placed<T>(value: T, place: Location) -> Spanned<T> {
    Spanned::new(value, place, place)
}

/// A value without a place: generated, or standing in for a faulty answer.
pub(crate) fn hole<T>(value: T) -> Spanned<T> {
    placed(value, Location::UNKNOWN)
}

fn wrong_kind(place: Location, what: &str, found: &AnswerNode, kind: &str) -> Diagnostic {
    let message = format!("{what} is {}; write {kind}", found.kind());
    Diagnostic::new(DiagnosticCode::WrongKind, place, message)
}
