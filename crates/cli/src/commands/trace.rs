//! `hatchpitch trace`.

use hatchpitch::trace::SpanRecord;
use http::Method;

use crate::args::Args;
use crate::client::Client;
use crate::exit::Exit;
use crate::output::print;

/// Collects the spans of a trace from every entry box and prints them as a tree.
pub async fn run(args: &Args, id: &str) -> anyhow::Result<Exit> {
    let client = Client::new(args)?;
    let mut spans: Vec<SpanRecord> = Vec::new();
    for (name, addr) in client.entry_boxes().await? {
        match client.call(addr, Method::GET, &format!("/ops/trace/{id}"), Vec::new()).await {
            Ok(res) => spans.extend(res.success_json::<Vec<SpanRecord>>()?),
            Err(err) => eprintln!("hatchpitch: box {name} is left out: {err:#}"),
        }
    }
    spans.sort_by_key(|span| span.start_ms);
    print(args.output, &spans, || render_tree(&spans));
    Ok(if spans.is_empty() { Exit::Failed } else { Exit::Done })
}

fn render_tree(spans: &[SpanRecord]) -> String {
    if spans.is_empty() {
        return "no box holds a span of this trace".to_owned();
    }
    let has_span = |id: &str| spans.iter().any(|span| span.span == id);
    let mut lines = Vec::new();
    for root in spans.iter().filter(|span| !has_span(&span.parent)) {
        render_span(spans, root, 0, &mut lines);
    }
    lines.join("\n")
}

fn render_span(spans: &[SpanRecord], span: &SpanRecord, depth: usize, lines: &mut Vec<String>) {
    let notes = span.notes.iter().map(|(key, value)| format!(" {key}={value}"));
    let notes: String = notes.collect();
    let indent = "  ".repeat(depth);
    let millis = span.micros as f64 / 1_000.0;
    lines.push(format!("{indent}{} at {} {millis:.3} ms{notes}", span.name, span.at));
    for child in spans.iter().filter(|child| child.parent == span.span) {
        render_span(spans, child, depth + 1, lines);
    }
}
