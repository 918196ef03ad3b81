//! Writes a generated trace as JSON, for `daisyctl roles --trace`.
//!
//! `cargo run --release -p roles --example trace -- NUMBER SEED > FILE`, where NUMBER is the place of the shape
//! in `roles::trace::generate::SHAPES`.

use std::{env, io};

use roles::{
    policy::Rule,
    trace::generate::{self, SHAPES, Shape},
};

const ENGINES: u32 = 20;

fn main() -> io::Result<()> {
    let number = |place| env::args().nth(place).and_then(|text| text.parse::<u64>().ok());
    let place = number(1).and_then(|place| usize::try_from(place).ok()).unwrap_or_default();
    let shape = SHAPES.get(place).copied().unwrap_or(Shape::Mornings);
    let trace = generate::generate(shape, ENGINES, Rule::default().rates(), number(2).unwrap_or(1));
    serde_json::to_writer(io::stdout().lock(), &trace)?;
    Ok(())
}
