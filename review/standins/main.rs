//! Plays one case of the review: starts the project's own programs and stand-ins, and judges what
//! clients, servers and the operator saw. Exits with 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run.

mod crash_at_end;
mod fleet;
mod forgotten_end;
mod large_bodies;
mod net;
mod queued_at_stop;
mod runner;
mod slow_reader;

use std::io::Write;
use std::time::Instant;

/// Record of a case: what was sent, answered and run.
pub struct Record {
    file: std::fs::File,
    began: Instant,
}

impl Record {
    fn new(path: &str) -> Self {
        let file = std::fs::File::create(path).expect("the record is written");
        Self { file, began: Instant::now() }
    }

    pub fn note(&mut self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:8.3}  {}", text.as_ref());
        println!("{line}");
        let _ = writeln!(self.file, "{line}");
    }
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if let [role, ip, instance] = args.as_slice()
        && role == "serve_unframed"
    {
        crash_at_end::serve(ip.parse().expect("an address"), instance);
    }
    let mut args = args.into_iter();
    let (case, record) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = Record::new(&record);
    let verdict = match case.as_str() {
        "slow_reader" => slow_reader::play(&mut record, trouble),
        "queued_at_stop" => queued_at_stop::play(&mut record, trouble),
        "forgotten_end" => forgotten_end::play(&mut record, trouble),
        "crash_at_end" => crash_at_end::play(&mut record, trouble),
        "large_bodies" => large_bodies::play(&mut record, trouble),
        _ => Verdict::NotRun,
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.note(text);
    std::process::exit(code);
}
