//! A YAML tree with source locations.
//!
//! Answers are read from this tree instead of being deserialized directly, because a typed
//! deserializer stops at the first error and the check has to report all of them.

use std::fmt;

use serde::de::{self, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_saphyr::{Location, Spanned};

use crate::error::{Diagnostic, DiagnosticCode};

/// A YAML value with its source location.
pub(crate) type SpannedNode = Spanned<YamlNode>;

/// An untyped YAML value.
#[derive(Debug, Clone)]
pub(crate) enum YamlNode {
    Null,
    Bool(bool),
    Number(u64),
    /// A negative or fractional number, which no key accepts.
    UnsupportedNumber,
    Text(String),
    List(Vec<SpannedNode>),
    Map(Vec<(Spanned<String>, SpannedNode)>),
}

impl YamlNode {
    fn type_name(&self) -> &'static str {
        match self {
            YamlNode::Null => "nothing",
            YamlNode::Bool(_) => "true or false",
            YamlNode::Number(_) => "a number",
            YamlNode::UnsupportedNumber => "a negative or fractional number",
            YamlNode::Text(_) => "a string",
            YamlNode::List(_) => "a list",
            YamlNode::Map(_) => "a mapping",
        }
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = YamlNode;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_bool<E: de::Error>(self, boolean: bool) -> Result<YamlNode, E> {
        Ok(YamlNode::Bool(boolean))
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> Result<YamlNode, E> {
        Ok(YamlNode::Number(number))
    }

    fn visit_i64<E: de::Error>(self, number: i64) -> Result<YamlNode, E> {
        Ok(u64::try_from(number).map_or(YamlNode::UnsupportedNumber, YamlNode::Number))
    }

    fn visit_f64<E: de::Error>(self, _: f64) -> Result<YamlNode, E> {
        Ok(YamlNode::UnsupportedNumber)
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<YamlNode, E> {
        Ok(YamlNode::Text(text.to_owned()))
    }

    fn visit_unit<E: de::Error>(self) -> Result<YamlNode, E> {
        Ok(YamlNode::Null)
    }

    fn visit_none<E: de::Error>(self) -> Result<YamlNode, E> {
        Ok(YamlNode::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<YamlNode, D::Error> {
        deserializer.deserialize_any(self)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<YamlNode, A::Error> {
        let mut nodes = Vec::new();
        while let Some(node) = seq.next_element()? {
            nodes.push(node);
        }
        Ok(YamlNode::List(nodes))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<YamlNode, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(YamlNode::Map(entries))
    }
}

impl<'de> Deserialize<'de> for YamlNode {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<YamlNode, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

/// Maximum number of YAML nodes in a document. A fleet of 15,000 targets listed one by one has about
/// 260,000.
const MAX_YAML_NODES: usize = 2_000_000;

/// Parses `text` as a single YAML document.
pub(crate) fn parse_tree(text: &str) -> Result<SpannedNode, Diagnostic> {
    let options = serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_nodes: MAX_YAML_NODES,
            max_events: 2 * MAX_YAML_NODES,
        },
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|err| yaml_diagnostic(&err))
}

fn yaml_diagnostic(err: &serde_saphyr::Error) -> Diagnostic {
    let location = err.location().unwrap_or(Location::UNKNOWN);
    let message = match err.without_snippet() {
        serde_saphyr::Error::DuplicateMappingKey { key: Some(key), .. } => {
            format!("key `{key}` occurs twice; delete one of them")
        }
        other => format!("{other}; correct the line"),
    };
    Diagnostic::new(DiagnosticCode::BrokenYaml, location, message)
}

/// Reads typed values from one mapping and collects diagnostics. An invalid value is replaced by a
/// default without a location, so that the remaining keys are still checked.
pub(crate) struct MappingReader<'a> {
    location: Location,
    entries: &'a [(Spanned<String>, SpannedNode)],
    known_keys: Vec<&'static str>,
    diagnostics: &'a mut Vec<Diagnostic>,
}

impl<'a> MappingReader<'a> {
    pub(crate) fn new(
        node: &'a SpannedNode,
        diagnostics: &'a mut Vec<Diagnostic>,
    ) -> MappingReader<'a> {
        let location = node.referenced;
        let entries: &[_] = match &node.value {
            YamlNode::Map(entries) => entries,
            other => {
                diagnostics.push(wrong_type(
                    location,
                    "the entry",
                    other,
                    "a mapping of keys to values",
                ));
                // An unknown location suppresses the diagnostics for missing keys.
                return MappingReader {
                    location: Location::UNKNOWN,
                    entries: &[],
                    known_keys: vec![],
                    diagnostics,
                };
            }
        };
        MappingReader { location, entries, known_keys: Vec::new(), diagnostics }
    }

    fn report(&mut self, code: DiagnosticCode, location: Location, message: impl Into<String>) {
        self.diagnostics.push(Diagnostic::new(code, location, message));
    }

    /// Returns the value of `key`, if present, and records the key as known.
    pub(crate) fn get(&mut self, key: &'static str) -> Option<&'a SpannedNode> {
        if !self.known_keys.contains(&key) {
            self.known_keys.push(key);
        }
        let entry = self.entries.iter().find(|(name, _)| name.value == key)?;
        Some(&entry.1)
    }

    fn require(&mut self, key: &'static str, expected: &str) -> Option<&'a SpannedNode> {
        let node = self.get(key);
        if node.is_none() && self.location != Location::UNKNOWN {
            let message = format!("`{key}` is missing; write `{key}: ` with {expected}");
            self.report(DiagnosticCode::MissingAnswer, self.location, message);
        }
        node
    }

    fn report_wrong_type(&mut self, key: &str, node: &SpannedNode, expected: &str) {
        let diagnostic = wrong_type(node.referenced, &format!("`{key}`"), &node.value, expected);
        self.diagnostics.push(diagnostic);
    }

    pub(crate) fn text(&mut self, key: &'static str) -> Spanned<String> {
        let expected = "a string";
        let Some(node) = self.require(key, expected) else { return unlocated(String::new()) };
        match &node.value {
            YamlNode::Text(text) => located(text.clone(), node.referenced),
            _ => {
                self.report_wrong_type(key, node, expected);
                unlocated(String::new())
            }
        }
    }

    pub(crate) fn number(&mut self, key: &'static str) -> Spanned<u64> {
        let expected = "a whole number";
        let Some(node) = self.require(key, expected) else { return unlocated(0) };
        match node.value {
            YamlNode::Number(number) => located(number, node.referenced),
            _ => {
                self.report_wrong_type(key, node, expected);
                unlocated(0)
            }
        }
    }

    pub(crate) fn optional_number(&mut self, key: &'static str) -> Option<Spanned<u64>> {
        self.get(key)?;
        Some(self.number(key))
    }

    pub(crate) fn count(&mut self, key: &'static str) -> Spanned<u32> {
        let number = self.number(key);
        match u32::try_from(number.value) {
            Ok(count) => located(count, number.referenced),
            Err(_) => {
                let message = format!("`{key}` is {}; write at most {}", number.value, u32::MAX);
                self.report(DiagnosticCode::WrongKind, number.referenced, message);
                unlocated(0)
            }
        }
    }

    pub(crate) fn boolean(&mut self, key: &'static str) -> Spanned<bool> {
        let expected = "true or false";
        let Some(node) = self.require(key, expected) else { return unlocated(false) };
        match node.value {
            YamlNode::Bool(boolean) => located(boolean, node.referenced),
            _ => {
                self.report_wrong_type(key, node, expected);
                unlocated(false)
            }
        }
    }

    /// Reads a required string and parses it; `expected` describes the accepted values in messages.
    pub(crate) fn parsed_text<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        code: DiagnosticCode,
        parse: impl Fn(&str) -> Option<T>,
        fallback: T,
    ) -> Spanned<T> {
        let Some(node) = self.require(key, expected) else { return unlocated(fallback) };
        let YamlNode::Text(text) = &node.value else {
            self.report_wrong_type(key, node, expected);
            return unlocated(fallback);
        };
        match parse(text) {
            Some(value) => located(value, node.referenced),
            None => {
                let message = format!("`{key}` is `{text}`; write {expected}");
                self.report(code, node.referenced, message);
                unlocated(fallback)
            }
        }
    }

    pub(crate) fn list<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&'a SpannedNode, &mut Vec<Diagnostic>) -> T,
    ) -> Spanned<Vec<T>> {
        match self.require(key, "a list") {
            Some(node) => self.items(key, node, read),
            None => unlocated(Vec::new()),
        }
    }

    /// Reads a list; a missing key gives an empty list.
    pub(crate) fn optional_list<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&'a SpannedNode, &mut Vec<Diagnostic>) -> T,
    ) -> Spanned<Vec<T>> {
        match self.get(key) {
            Some(node) => self.items(key, node, read),
            None => unlocated(Vec::new()),
        }
    }

    fn items<T>(
        &mut self,
        key: &str,
        node: &'a SpannedNode,
        read: impl Fn(&'a SpannedNode, &mut Vec<Diagnostic>) -> T,
    ) -> Spanned<Vec<T>> {
        let YamlNode::List(nodes) = &node.value else {
            self.report_wrong_type(key, node, "a list");
            return unlocated(Vec::new());
        };
        let items = nodes.iter().map(|item| read(item, self.diagnostics)).collect();
        located(items, node.referenced)
    }

    /// Reports keys that were never requested.
    pub(crate) fn finish(self) {
        for (key, _) in self.entries {
            if !self.known_keys.contains(&key.value.as_str()) {
                let message = format!(
                    "`{}` is not a known key; write one of {}",
                    key.value,
                    self.known_keys.join(", ")
                );
                self.diagnostics.push(Diagnostic::new(
                    DiagnosticCode::UnknownKey,
                    key.referenced,
                    message,
                ));
            }
        }
    }
}

/// Reads a string item of a list.
pub(crate) fn read_text(node: &SpannedNode, diagnostics: &mut Vec<Diagnostic>) -> Spanned<String> {
    match &node.value {
        YamlNode::Text(text) => located(text.clone(), node.referenced),
        other => {
            diagnostics.push(wrong_type(node.referenced, "the item", other, "a string"));
            unlocated(String::new())
        }
    }
}

/// Attaches a source location to `value`.
pub(crate) fn located<T>(value: T, location: Location) -> Spanned<T> {
    Spanned::new(value, location, location)
}

/// Wraps a value that has no source location: a generated answer, or the default for an invalid one.
pub(crate) fn unlocated<T>(value: T) -> Spanned<T> {
    located(value, Location::UNKNOWN)
}

fn wrong_type(location: Location, what: &str, found: &YamlNode, expected: &str) -> Diagnostic {
    let message = format!("{what} is {}; write {expected}", found.type_name());
    Diagnostic::new(DiagnosticCode::WrongKind, location, message)
}
