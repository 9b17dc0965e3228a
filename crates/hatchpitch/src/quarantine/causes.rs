//! What a request holds that may crash its upstream: its content as a whole, and each part of its
//! prompt.

use super::content::ContentId;
use crate::ids::WorkspaceName;

/// Name of a part of a prompt. Prompts of one model that hold the same part name it alike.
pub type PartName = String;

/// Maximum number of parts of a prompt that are told apart. Prompts hold a few that are shared and one
/// of their own; conversations have a part for each message.
pub const MAX_PARTS: usize = 64;
/// Maximum length of the name of a part, in bytes.
pub const MAX_PART_NAME: usize = 64;
/// Name of the part that stands for all that cannot be told apart.
const UNLISTED: &str = "parts that are not told apart";

/// The parts that a prompt is composed of, in order; the last one is the request's own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptParts {
    model: String,
    /// `None` if the parts cannot be told apart.
    names: Option<Vec<PartName>>,
}

impl PromptParts {
    /// Creates the parts of a prompt for a model. `names` is `None` if they are unreadable. Parts that
    /// exceed [`MAX_PARTS`] or [`MAX_PART_NAME`] are not told apart.
    pub fn new(model: String, names: Option<Vec<PartName>>) -> Self {
        let are_listed = |names: &Vec<PartName>| {
            let is_valid = |name: &PartName| (1..=MAX_PART_NAME).contains(&name.len());
            names.len() <= MAX_PARTS && names.iter().all(is_valid)
        };
        Self { model, names: names.filter(are_listed) }
    }
}

/// A part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Part {
    id: ContentId,
    name: PartName,
}

/// What a request holds that may crash its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Causes {
    content: ContentId,
    workspace: WorkspaceName,
    parts: Vec<Part>,
}

impl Causes {
    /// Returns the causes that a request of a workspace for a service holds.
    ///
    /// A part is the same in all workspaces. The parts of a prompt that cannot be told apart are one
    /// part of their workspace, so that a workspace cannot hide a part among many others.
    pub fn new(
        content: ContentId,
        service: &str,
        workspace: &str,
        prompt: Option<&PromptParts>,
    ) -> Self {
        let part = |PromptParts { model, .. }: &PromptParts, name: &PartName| {
            let scope = [b"part", service.as_bytes(), model.as_bytes(), name.as_bytes()];
            Part { id: ContentId::of(&scope), name: name.clone() }
        };
        let unlisted = || {
            let scope = [b"unlisted", service.as_bytes(), workspace.as_bytes()];
            Part { id: ContentId::of(&scope), name: UNLISTED.to_owned() }
        };
        let parts = prompt.map(|prompt| match &prompt.names {
            Some(names) => names.iter().map(|name| part(prompt, name)).collect(),
            None => vec![unlisted()],
        });
        let parts = parts.unwrap_or_default();
        Self { content, workspace: workspace.to_owned(), parts }
    }

    /// Returns the content as a whole.
    pub fn content(&self) -> ContentId {
        self.content
    }

    /// Returns the workspace of the request.
    pub fn workspace(&self) -> &WorkspaceName {
        &self.workspace
    }

    /// Returns the ids of the parts of the prompt, in order.
    pub fn parts(&self) -> impl Iterator<Item = ContentId> {
        self.parts.iter().map(|part| part.id)
    }

    /// Returns the ids of all causes, the whole content first.
    pub fn ids(&self) -> impl Iterator<Item = ContentId> {
        std::iter::once(self.content).chain(self.parts())
    }

    /// Returns whether the request holds a cause.
    pub fn contains(&self, id: &ContentId) -> bool {
        self.ids().any(|own| own == *id)
    }

    /// Returns the name and the position, from 1 on, of a part of the prompt.
    pub fn describe_part(&self, id: &ContentId) -> Option<String> {
        let at = self.parts.iter().position(|part| part.id == *id)?;
        let (number, name) = (at + 1, &self.parts[at].name);
        Some(format!("part {number} of {} of the prompt ({name})", self.parts.len()))
    }
}

impl From<ContentId> for Causes {
    /// Returns the causes of a request without a prompt that is known in parts.
    fn from(content: ContentId) -> Self {
        Self { content, workspace: WorkspaceName::new(), parts: Vec::new() }
    }
}
