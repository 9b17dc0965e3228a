//! Diagnostics for operators' files: location, key, and the found and expected values.

use std::fmt;
use std::ops::Range;

use toml::Spanned;

/// Maximum length of a name in an operators' file, in bytes.
const MAX_NAME_LEN: usize = 64;

/// A problem in a file, located by its byte range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Byte range in the file.
    pub span: Range<usize>,
    /// The affected key.
    pub key: String,
    /// The value in the file, or a description of it.
    pub found: String,
    /// A description of valid values.
    pub expected: String,
}

/// A problem in a file, located by its line, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Problem {
    /// The file's name.
    pub file: String,
    /// Line number, starting at 1; 0 if the file cannot be read.
    pub line: usize,
    /// The affected key.
    pub key: String,
    /// The value in the file, or a description of it.
    pub found: String,
    /// A description of valid values.
    pub expected: String,
}

/// All problems of one file; never empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { key, found, expected, .. } = self;
        write!(f, "{key}: found {found}, expected {expected}")
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, line, key, found, expected } = self;
        write!(f, "{file}:{line}: {key}: found {found}, expected {expected}")
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}

/// Collects findings while raw input is converted into validated types.
#[derive(Debug, Default)]
pub struct Checker {
    findings: Vec<Finding>,
}

impl Checker {
    /// Records a problem with the value of `key` at `span`.
    pub fn report(
        &mut self,
        span: Range<usize>,
        key: &str,
        found: impl fmt::Display,
        expected: &str,
    ) {
        self.findings.push(Finding {
            span,
            key: key.to_owned(),
            found: found.to_string(),
            expected: expected.to_owned(),
        });
    }

    /// Checks that a name consists of 1 to 64 of `a-z`, `0-9`, `-`, `_` and `.`.
    pub fn name(&mut self, key: &str, raw: &Spanned<String>) -> String {
        let name = raw.get_ref();
        let is_allowed =
            |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
        if name.is_empty() || name.len() > MAX_NAME_LEN || !name.bytes().all(is_allowed) {
            let expected = "1 to 64 of a-z, 0-9, '-', '_' and '.'";
            self.report(raw.span(), key, format!("{name:?}"), expected);
        }
        name.clone()
    }

    /// Parses a value, and records a finding if it is invalid.
    pub fn parse<T: std::str::FromStr>(
        &mut self,
        key: &str,
        raw: &Spanned<String>,
        expected: &str,
    ) -> Option<T> {
        let parsed = raw.get_ref().parse().ok();
        if parsed.is_none() {
            self.report(raw.span(), key, format!("{:?}", raw.get_ref()), expected);
        }
        parsed
    }

    /// Checks that a number lies in a range.
    pub fn range(&mut self, key: &str, raw: &Spanned<u64>, allowed: std::ops::RangeInclusive<u64>) {
        if !allowed.contains(raw.get_ref()) {
            let expected = format!("{} to {}", allowed.start(), allowed.end());
            self.report(raw.span(), key, raw.get_ref(), &expected);
        }
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns all findings if there are any.
    pub fn finish<T>(self, value: T) -> Result<T, Vec<Finding>> {
        if self.findings.is_empty() { Ok(value) } else { Err(self.findings) }
    }
}

/// Parses and validates a TOML file: `R` is its serde representation, `T` the validated type.
///
/// # Errors
///
/// Returns every [`Problem`] of the file with its line.
pub fn load_toml<R, T>(file: &str, text: &str) -> Result<T, Problems>
where
    R: serde::de::DeserializeOwned,
    T: TryFrom<R, Error = Vec<Finding>>,
{
    let raw: R = toml::from_str(text).map_err(|err| {
        let span = err.span().unwrap_or(0..0);
        let finding = syntax_finding(text, span, err.message());
        Problems(vec![locate(file, text, finding)])
    })?;
    let checked = T::try_from(raw);
    checked.map_err(|found| Problems(found.into_iter().map(|f| locate(file, text, f)).collect()))
}

/// Converts a parser error into a finding; splits its message into found and expected parts.
fn syntax_finding(text: &str, span: Range<usize>, message: &str) -> Finding {
    let line = text[..span.start.min(text.len())].rfind('\n').map_or(0, |at| at + 1);
    let rest = text[line..].lines().next().unwrap_or("");
    let key = rest.split('=').next().unwrap_or("").trim().to_owned();
    let (found, expected) = message.split_once(", expected ").unwrap_or((message, "valid TOML"));
    let found = found.replace('\n', " ");
    Finding { span, key, found, expected: expected.to_owned() }
}

/// Determines the line of a finding.
fn locate(file: &str, text: &str, finding: Finding) -> Problem {
    let before = &text.as_bytes()[..finding.span.start.min(text.len())];
    let line = before.iter().filter(|b| **b == b'\n').count() + 1;
    let Finding { key, found, expected, .. } = finding;
    Problem { file: file.to_owned(), line, key, found, expected }
}
