//! Log lines never hold a process up.

use std::io::{Read as _, Write as _};
use std::os::unix::net::UnixStream;

use hatchpitch::logging::PatientWriter;

#[test]
fn a_reader_that_is_behind_costs_lines_and_no_time() {
    let (mut reader, out) = UnixStream::pair().unwrap();
    let mut writer = PatientWriter::new(out);
    let line = [b"x".repeat(999), b"\n".to_vec()].concat();
    // Far more than any socket buffers: this would never return if a write blocked.
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
fn lines_come_through_while_they_are_read() {
    let (reader, out) = UnixStream::pair().unwrap();
    let mut writer = PatientWriter::new(out);
    let reading = std::thread::spawn(move || {
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
    assert_eq!(reading.join().unwrap().lines().count(), 10);
}

#[test]
fn a_disk_that_is_full_costs_lines_and_no_error() {
    // Every write to this device fails for want of room. An error would come back to the caller
    // of the log, whose last resort is to panic.
    let out = std::fs::OpenOptions::new().write(true).open("/dev/full").unwrap();
    let mut writer = PatientWriter::new(out);
    for _ in 0..3 {
        writer.write_all(b"a line\n").unwrap();
        writer.flush().unwrap();
    }
}
