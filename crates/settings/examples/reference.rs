//! Writes the committed schemas and the page of settings, from the root of the repository.

use std::{fs, io};

use settings::reference;

fn main() -> io::Result<()> {
    for page in reference::pages() {
        fs::write(page.path, page.text)?;
    }
    Ok(())
}
