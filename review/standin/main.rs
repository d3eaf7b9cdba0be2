//! The cases of the review that are scripts. `standin CASE ROOT FOLDER` runs one, writes
//! `FOLDER/record.txt` and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
//! run. With `TROUBLE=0` in the environment, the disruption is left out.

mod cases;
mod fleet;
mod http;
mod json;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use cases::Case;
use fleet::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    match run(case, Path::new(root), Path::new(folder)) {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(name: &str, root: &Path, folder: &Path) -> std::io::Result<bool> {
    let scratch = Scratch::create()?;
    let case = Case {
        root: std::fs::canonicalize(root)?,
        scratch: scratch.0.clone(),
        record: Record::create(&folder.join("record.txt"))?,
        has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    case.record
        .line(&format!("case {name}, with trouble: {}", case.has_trouble));
    let is_broken = case.run(name)?;
    case.record.line(if is_broken {
        "VERDICT: the rule was broken"
    } else {
        "VERDICT: the rule held"
    });
    Ok(is_broken)
}

/// A temporary folder that is removed at the end.
struct Scratch(PathBuf);

impl Scratch {
    fn create() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("lapismoor-review-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.0));
    }
}
