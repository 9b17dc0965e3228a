//! Tests of the replicated log with lost, duplicated, reordered and delayed messages, crashes at
//! every write, clock drift and lost disks.

mod explore;
mod group;
mod members;
mod restarts;
mod schedules;
mod storage;
mod transfer;
