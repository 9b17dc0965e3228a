//! Cases of the review that start the project's own programs. Usage: standin CASE FOLDER, at the root
//! of the repository. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With TROUBLE=0 the case runs without its disruption.

mod cases;
mod kit;

fn main() {
    let mut args = std::env::args().skip(1);
    let (case, folder) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let out = kit::Record::open(&folder);
    let run = || match case.as_str() {
        "two-owners" => cases::two_owners(&out, trouble),
        "replaced-core" => cases::replaced_core(&out, trouble),
        "many-headers" => cases::many_headers(&out, trouble),
        "unknown-key" => cases::unknown_key(&out, trouble),
        "unknown-service" => cases::unknown_service(&out, trouble),
        other => kit::cannot_run(&format!("no case {other:?}")),
    };
    let Ok(broken) = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run)) else {
        std::process::exit(2)
    };
    out.say(if broken { "the rule was broken" } else { "the rule held" });
    std::process::exit(i32::from(broken));
}
