//! The command line for operators, with the load tool.

fn main() {}
