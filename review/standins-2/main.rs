//! Plays one case of the review: `review-2 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run. With `TROUBLE=0` it plays the same without the disruption.

mod crowd;
mod listed;
mod moved;
mod platform;

use platform::Record;
use std::path::{Path, PathBuf};

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// What a case needs.
pub struct Stage {
    pub record: Record,
    pub dir: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = &args[..] else {
        eprintln!("usage: review-2 CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the temporary folder can be created");
    let stage = Stage { record: Record::create(Path::new(record)), dir: dir.clone(), trouble };
    stage
        .record
        .note(format!("case {case}, disruption {}", if trouble { "played" } else { "left out" }));
    let verdict = match case.as_str() {
        "listed" => listed::play(&stage),
        "busy" => crowd::play_busy(&stage),
        "headers" => crowd::play_headers(&stage),
        "moved" => moved::play(&stage),
        "ahead" => crowd::play_ahead(&stage),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    let (text, code) = match &verdict {
        Verdict::Held => ("held".to_owned(), 0),
        Verdict::Broken => ("broken".to_owned(), 1),
        Verdict::NotRun(why) => (format!("not run: {why}"), 2),
    };
    stage.record.note(format!("result: {text}"));
    println!("{case}: {text}");
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    std::process::exit(code);
}
