//! One mapping of a settings file.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use marked_yaml::Node;
use marked_yaml::types::MarkedMappingNode;

use super::Finding;

/// A mapping that is being read. Keys that were not read are reported as unknown by
/// [`Section::finish`].
pub struct Section<'a> {
    file: &'a str,
    mapping: &'a MarkedMappingNode,
    findings: &'a mut Vec<Finding>,
    read_keys: BTreeSet<&'static str>,
}

impl<'a> Section<'a> {
    /// Creates a reader of a mapping.
    pub fn new(
        file: &'a str,
        mapping: &'a MarkedMappingNode,
        findings: &'a mut Vec<Finding>,
    ) -> Self {
        Self {
            file,
            mapping,
            findings,
            read_keys: BTreeSet::new(),
        }
    }

    /// Reads a nested mapping. A missing or malformed one is a finding.
    pub fn section<T>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&mut Section<'_>) -> Option<T>,
    ) -> Option<T> {
        let node = self.required(key)?;
        let Node::Mapping(mapping) = node else {
            self.report(node, format!("`{key}` must be a mapping"));
            return None;
        };
        let mut section = Section::new(self.file, mapping, self.findings);
        let value = read(&mut section);
        section.finish();
        value
    }

    /// Reads an optional nested mapping. A malformed one is a finding.
    pub fn section_or<T>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&mut Section<'_>) -> Option<T>,
        default: T,
    ) -> Option<T> {
        if self.has(key) {
            self.section(key, read)
        } else {
            Some(default)
        }
    }

    /// Reads an optional mapping of names to nested mappings. Malformed ones are findings.
    pub fn sections<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&mut Section<'_>) -> Option<T>,
    ) -> Option<Vec<(String, T)>> {
        let Some(node) = self.optional(key) else {
            return Some(Vec::new());
        };
        let Node::Mapping(mapping) = node else {
            self.report(node, format!("`{key}` must be a mapping"));
            return None;
        };
        let mut values = Vec::new();
        for (name, node) in mapping.iter() {
            let Node::Mapping(mapping) = node else {
                self.report(node, format!("`{}` must be a mapping", name.as_str()));
                continue;
            };
            let mut section = Section::new(self.file, mapping, self.findings);
            let value = read(&mut section);
            section.finish();
            values.push(value.map(|value| (name.as_str().to_owned(), value)));
        }
        values.into_iter().collect()
    }

    /// Whether a key is present.
    pub fn has(&self, key: &str) -> bool {
        self.mapping.get_node(key).is_some()
    }

    /// Adds a finding if a value is outside a range.
    pub fn check_range(
        &mut self,
        key: &'static str,
        value: Option<f64>,
        range: &RangeInclusive<f64>,
    ) {
        if value.is_some_and(|value| !range.contains(&value)) {
            let text = format!("must be from {} to {}", range.start(), range.end());
            self.add_finding(key, &text);
        }
    }

    /// Reads a required value. A missing or malformed one is a finding.
    pub fn value<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let node = self.required(key)?;
        self.parse(key, node)
    }

    /// Reads an optional value. A malformed one is a finding.
    pub fn value_or<T>(&mut self, key: &'static str, default: T) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.optional(key) {
            Some(node) => self.parse(key, node),
            None => Some(default),
        }
    }

    /// Reads an optional duration in milliseconds. A malformed one or 0 is a finding.
    pub fn millis_or(&mut self, key: &'static str, default: Duration) -> Option<Duration> {
        let Some(node) = self.optional(key) else {
            return Some(default);
        };
        let millis: u64 = self.parse(key, node)?;
        if millis == 0 {
            self.report(node, format!("`{key}` must be above 0"));
            return None;
        }
        Some(Duration::from_millis(millis))
    }

    /// Reads an optional list of values. Malformed ones are findings.
    pub fn list<T>(&mut self, key: &'static str) -> Option<Vec<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(node) = self.optional(key) else {
            return Some(Vec::new());
        };
        let Node::Sequence(items) = node else {
            self.report(node, format!("`{key}` must be a list"));
            return None;
        };
        let values: Vec<Option<T>> = items.iter().map(|item| self.parse(key, item)).collect();
        values.into_iter().collect()
    }

    /// Adds a finding about the value of a key, if the key is present.
    pub fn add_finding(&mut self, key: &'static str, text: &str) {
        if let Some(node) = self.optional(key) {
            self.report(node, format!("`{key}` {text}"));
        }
    }

    /// Finishes reading. Every key that was not read is a finding.
    pub fn finish(self) {
        for (key, _) in self.mapping.iter() {
            if self.read_keys.contains(key.as_str()) {
                continue;
            }
            let text = format!("unknown key `{}`", key.as_str());
            let finding = Finding::new(self.file, key.span().start(), text);
            self.findings.push(finding);
        }
    }

    fn optional(&mut self, key: &'static str) -> Option<&'a Node> {
        self.read_keys.insert(key);
        self.mapping.get_node(key)
    }

    fn required(&mut self, key: &'static str) -> Option<&'a Node> {
        let node = self.optional(key);
        if node.is_none() {
            let position = self.mapping.span().start();
            let finding = Finding::new(self.file, position, format!("`{key}` is missing"));
            self.findings.push(finding);
        }
        node
    }

    fn parse<T>(&mut self, key: &str, node: &Node) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(scalar) = node.as_scalar() else {
            self.report(node, format!("`{key}` must be a single value"));
            return None;
        };
        match scalar.as_str().parse() {
            Ok(value) => Some(value),
            Err(err) => {
                self.report(node, format!("`{key}`: `{}`: {err}", scalar.as_str()));
                None
            }
        }
    }

    fn report(&mut self, node: &Node, text: String) {
        let finding = Finding::new(self.file, node.span().start(), text);
        self.findings.push(finding);
    }
}
