//! Writes a generated trace as JSON, for `daisyctl roles --trace`.
//!
//! `cargo run --release -p roles --example trace -- NUMBER SEED > FILE`, where NUMBER is the index of the shape in
//! `roles::trace::generate::SHAPES`.

use std::{env, io};

use roles::{
    policy::Rule,
    trace::generate::{self, SHAPES, Shape},
};

const ENGINES: u32 = 20;

fn main() -> io::Result<()> {
    let argument = |position| env::args().nth(position).and_then(|text| text.parse::<u64>().ok());
    let index = argument(1).and_then(|index| usize::try_from(index).ok()).unwrap_or_default();
    let shape = SHAPES.get(index).copied().unwrap_or(Shape::Mornings);
    let trace =
        generate::generate(shape, ENGINES, Rule::default().rates(), argument(2).unwrap_or(1));
    serde_json::to_writer(io::stdout().lock(), &trace)?;
    Ok(())
}
