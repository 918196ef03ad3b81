//! Writes the committed schemas and the settings page; run it in the root of the repository.

use std::{fs, io};

use settings::reference;

fn main() -> io::Result<()> {
    for page in reference::pages() {
        fs::write(page.path, page.text)?;
    }
    Ok(())
}
