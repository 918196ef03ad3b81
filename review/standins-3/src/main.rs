//! Stand-ins and scripts of the cases 11 to 15. No library is used.

#![allow(dead_code, reason = "each script uses a part of the stand-ins")]

mod client;
mod fleet;
mod http;
mod long;
mod raise;
mod restart;
mod roll;
mod runner;
mod stream;
mod upgrade;

use std::{collections::HashMap, path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let rest: Vec<String> = arguments.collect();
    if name == "runner" {
        let pairs: HashMap<String, String> = rest
            .iter()
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect();
        return match runner::run(&pairs) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("runner: {error}");
                ExitCode::from(2)
            }
        };
    }
    fleet::limit_time();
    let record = PathBuf::from(rest.first().cloned().unwrap_or_else(|| String::from("record.txt")));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let code = match name.as_str() {
        "upgrade" => upgrade::run(&record, trouble),
        "long" => long::run(&record, trouble),
        "raise" => raise::run(&record, trouble),
        "roll" => roll::run(&record, trouble),
        "restart" => restart::run(&record, trouble),
        _ => 2,
    };
    ExitCode::from(code)
}
