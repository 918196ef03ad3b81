//! What all cases have in common: the folder, the record, and the exit code.

use std::{
    fs,
    panic::{self, AssertUnwindSafe},
    path::{Path, PathBuf},
    process,
};

use crate::{record::Record, trouble};

/// Runs a case with a temporary folder; `run` returns whether the rule held. The argument of the program is the folder of
/// the case. The exit code is 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.
pub fn main(run: fn(&Path, &Record) -> bool) -> ! {
    let Some(folder) = std::env::args().nth(1).map(PathBuf::from) else {
        eprintln!("the folder of the case is missing");
        process::exit(2);
    };
    let record = Record::create(&folder);
    record.line(if trouble() { "with the disruption" } else { "without the disruption" });
    let temporary = std::env::temp_dir().join(format!("review-{}", process::id()));
    fs::create_dir_all(&temporary).expect("a temporary folder can be made");
    let result = panic::catch_unwind(AssertUnwindSafe(|| run(&temporary, &record)));
    if std::env::var_os("KEEP").is_none() {
        let _removed = fs::remove_dir_all(&temporary);
    }
    let code = match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    record.line(match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    });
    process::exit(code);
}
