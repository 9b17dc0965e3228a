//! Wires a control process: listeners and tasks.

use std::rc::Rc;
use std::time::Duration;

use anyhow::Context as _;
use futures_util::FutureExt;
use hatchpitch_net::{Handler, ServerLimits, bind, serve, stop_pair};

use super::context::ControlCx;
use super::{boxes, operators};
use crate::settings::ControlSettings;
use crate::signals;

/// Largest message of another box, in bytes.
pub const MAX_BODY: usize = 64 * 1024 * 1024;
/// Time in which a body must arrive.
pub const BODY_LIMIT: Duration = Duration::from_secs(10);

/// Runs a control process until it is asked to stop.
///
/// # Errors
///
/// Returns an error that names the listener that could not be opened, or what is
/// wrong with the data folder.
pub async fn run(settings: ControlSettings) -> anyhow::Result<()> {
    let operators = bind(settings.own.operators_addr).await.context("operators' listener")?;
    let boxes = bind(settings.own.boxes_addr).await.context("boxes' listener")?;
    let cx = ControlCx::new(settings);
    log::info!(
        "control box {} serves operators at {}",
        cx.settings.own.name,
        cx.settings.own.operators_addr
    );
    let (stop_handle, stop) = stop_pair();
    let limits = ServerLimits::default();
    let listeners = [
        compio::runtime::spawn(serve(operators, limits, operators_handler(&cx), stop.clone())),
        compio::runtime::spawn(serve(boxes, limits, boxes_handler(&cx), stop.clone())),
    ];
    let confirmer = cx.clone();
    compio::runtime::spawn(async move {
        loop {
            confirmer.confirm_config(std::time::Instant::now());
            compio::time::sleep(Duration::from_millis(100)).await;
        }
    })
    .detach();
    signals::stop_requested().await?;
    drop(stop_handle);
    for listener in listeners {
        let _ = compio::time::timeout(Duration::from_secs(1), listener).await;
    }
    Ok(())
}

fn operators_handler(cx: &Rc<ControlCx>) -> Handler {
    let cx = cx.clone();
    Rc::new(move |req, _peer| operators::handle(cx.clone(), req).boxed_local())
}

fn boxes_handler(cx: &Rc<ControlCx>) -> Handler {
    let cx = cx.clone();
    Rc::new(move |req, _peer| boxes::handle(cx.clone(), req).boxed_local())
}
