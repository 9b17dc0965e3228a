//! Settings of the daemons: TOML files, validated at startup into immutable typed values.

pub mod control;
pub mod diagnostic;
pub mod entry;
pub mod policy;
pub(crate) mod shared;

pub use control::{ControlPeer, ControlSettings};
pub use entry::EntrySettings;

use diagnostic::{Problem, Problems};

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns every problem with its line; a file that cannot be read is reported at line 0.
pub fn load_file<R, T>(path: &std::path::Path) -> Result<T, Problems>
where
    R: serde::de::DeserializeOwned,
    T: TryFrom<R, Error = Vec<diagnostic::Finding>>,
{
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => diagnostic::load_toml::<R, T>(&file, &text),
        Err(err) => Err(Problems(vec![Problem {
            file,
            line: 0,
            key: "file".to_owned(),
            found: err.to_string(),
            expected: "a readable file".to_owned(),
        }])),
    }
}
