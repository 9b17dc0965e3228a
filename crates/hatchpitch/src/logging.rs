//! Logs as JSON lines on standard error.

use std::time::{SystemTime, UNIX_EPOCH};

use log::LevelFilter;

/// Starts logging at `level` for the process of box `name`.
///
/// # Errors
///
/// Returns an error if logging was started before.
pub fn start(name: &str, level: LevelFilter) -> anyhow::Result<()> {
    let name = name.to_owned();
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("hatchpitch", level)
        .level_for("hatchpitch_net", level)
        .level_for("hatchpitch_entry", level)
        .level_for("hatchpitch_control", level)
        .level_for("span", level)
        .format(move |out, message, record| {
            let line = serde_json::json!({
                "time_ms": unix_ms(),
                "level": record.level().as_str(),
                "box": name,
                "target": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        })
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}

/// Returns the wall clock in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
