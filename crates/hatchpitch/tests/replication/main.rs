//! The replicated log under lost, doubled, reordered and late messages, crashes
//! at every write, clocks that drift, and lost disks.

mod explore;
mod group;
mod restarts;
mod schedules;
mod storage;
mod transfer;
