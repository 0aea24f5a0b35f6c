//! What a case sends, gets and sees run, in `record.txt`.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).unwrap_or_else(|error| {
            eprintln!("can't write record.txt: {error}");
            std::process::exit(2);
        });
        Self { file: Mutex::new(file), began: Instant::now() }
    }

    pub fn write(&self, line: impl AsRef<str>) {
        let at = self.began.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>7} ms  {}", line.as_ref());
    }

    /// Writes a line and prints it.
    pub fn say(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.write(line);
    }
}
