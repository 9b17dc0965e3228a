//! Logging never blocks the process or fails.

use std::io::{Read as _, Write as _};
use std::os::unix::net::UnixStream;

use hatchpitch::logging::NonBlockingWriter;

#[test]
fn a_slow_reader_drops_lines_and_does_not_block() {
    let (mut reader, out) = UnixStream::pair().unwrap();
    let mut writer = NonBlockingWriter::new(out);
    let line = [b"x".repeat(999), b"\n".to_vec()].concat();
    // Far more than a socket buffers: the loop would never finish if a write blocked.
    for _ in 0..20_000 {
        writer.write_all(&line).unwrap();
        writer.flush().unwrap();
    }
    drop(writer);
    let mut read = Vec::new();
    reader.read_to_end(&mut read).unwrap();
    assert!(!read.is_empty() && read.len() < 20_000 * line.len());
    assert_eq!(read.len() % line.len(), 0, "lines are whole");
}

#[test]
fn no_line_is_dropped_while_the_reader_keeps_up() {
    let (reader, out) = UnixStream::pair().unwrap();
    let mut writer = NonBlockingWriter::new(out);
    let reader_thread = std::thread::spawn(move || {
        let mut text = String::new();
        (&reader).read_to_string(&mut text).unwrap();
        text
    });
    for i in 0..10 {
        write!(writer, "line {i}").unwrap();
        writeln!(writer).unwrap();
        writer.flush().unwrap();
    }
    drop(writer);
    assert_eq!(reader_thread.join().unwrap().lines().count(), 10);
}

#[test]
fn a_full_disk_drops_lines_without_an_error() {
    // Every write to this device fails with ENOSPC. The logging library panics if it can report
    // an error in no other way.
    let out = std::fs::OpenOptions::new().write(true).open("/dev/full").unwrap();
    let mut writer = NonBlockingWriter::new(out);
    for _ in 0..3 {
        writer.write_all(b"a line\n").unwrap();
        writer.flush().unwrap();
    }
}
