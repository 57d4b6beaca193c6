//! Reader of sections and values that collects findings with their positions.

mod finding;
mod section;

pub use finding::Finding;
pub use section::Section;

use marked_yaml::Node;

/// Reads a document whose root is a mapping.
///
/// # Errors
///
/// One finding if the text is not valid YAML or its root is not a mapping, otherwise all findings
/// of `read` in the order of their positions.
pub fn document<T>(
    file: &str,
    text: &str,
    read: impl FnOnce(&mut Section<'_>) -> Option<T>,
) -> Result<T, Vec<Finding>> {
    let root = match marked_yaml::parse_yaml(0, text) {
        Ok(root) => root,
        Err(err) => return Err(vec![Finding::new(file, None, err.to_string())]),
    };
    let Node::Mapping(mapping) = &root else {
        let text = "the document is not a mapping";
        return Err(vec![Finding::new(file, root.span().start(), text)]);
    };
    let mut findings = Vec::new();
    let value = {
        let mut section = Section::new(file, mapping, &mut findings);
        let value = read(&mut section);
        section.finish();
        value
    };
    match value {
        Some(value) if findings.is_empty() => Ok(value),
        _ => {
            findings.sort();
            Err(findings)
        }
    }
}
