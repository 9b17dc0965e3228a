//! Budget of the memory that a process spends on bytes of its peers.
//!
//! Whatever holds such bytes takes a [`Reservation`] first: connections, request bodies, answers,
//! incomplete events, and messages between boxes. The sum of all reservations stays within the
//! budget, so the number of peers and the size of what they send cannot take the process over the
//! limit of its machine.
//!
//! A part of the budget is kept for small reservations, so heartbeats, votes and small requests pass
//! while large bodies fill the rest. Where there is no room, a holder waits, which applies
//! backpressure to its peer, and then fails. If room stays short, [`MemoryBudget::revoke_largest`]
//! takes the largest reservation back from its holder.

use std::collections::BTreeMap;
use std::future::poll_fn;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::clock;

mod holder;

pub use holder::{Holder, MemoryError, Origin, Revoked, Usage};

/// Largest total of a reservation that may use the part of the budget kept for small ones, in bytes.
pub const SMALL_RESERVATION: usize = 32 * 1024;
/// Part of the budget that is kept for small reservations.
const SMALL_SHARE: usize = 4;
/// Part of the budget that connections and streams leave to what passes on them.
const TRAFFIC_SHARE: usize = 16;
/// Memory that a process uses apart from its budget, in bytes: code, tables and configuration.
const BASE_BYTES: usize = 32 * 1024 * 1024;
/// Ratio of the rest of the limit to the budget. Allocators, copies during encoding and buffers of
/// the system take the remainder.
const OVERHEAD_RATIO: usize = 2;
/// Smallest budget, in bytes. A process with less could not receive a usual configuration.
const MIN_BUDGET: usize = 8 * 1024 * 1024;
/// Share of the limit of the process from which resident memory counts as short, in percent.
const SHORTAGE_PERCENT: usize = 85;

/// Memory budget of one process; clones share it.
// Bytes that hold a reservation may be dropped on any thread as far as the type system knows, so the
// state is behind a mutex.
#[derive(Debug, Clone)]
pub struct MemoryBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    /// Limit of the process, in bytes.
    process_limit: usize,
    /// Most bytes that may be reserved.
    limit: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    used: usize,
    /// Bytes reserved for connections and streams.
    connection_bytes: usize,
    next_id: u64,
    entries: BTreeMap<u64, Entry>,
    usage: BTreeMap<Holder, Usage>,
    /// Wakers of reservations that wait for room.
    waiting: Vec<Waker>,
    /// Since when a reservation has been waiting for room or failing to get it.
    short_since: Option<Instant>,
    /// Whether the resident memory of the process is near its limit.
    is_resident_high: bool,
}

#[derive(Debug)]
struct Entry {
    holder: Holder,
    origin: Origin,
    bytes: usize,
    /// Whether its holder reacts to a revocation.
    is_revocable: bool,
    is_revoked: bool,
    waker: Option<Waker>,
}

impl Default for MemoryBudget {
    /// Returns a budget without a limit.
    fn default() -> Self {
        Self::with_limits(usize::MAX, usize::MAX)
    }
}

impl MemoryBudget {
    /// Creates the budget of a process that may use `process_limit` bytes in total.
    pub fn new(process_limit: usize) -> Self {
        let rest = process_limit.saturating_sub(BASE_BYTES) / OVERHEAD_RATIO;
        Self::with_limits(process_limit, rest.max(MIN_BUDGET))
    }

    fn with_limits(process_limit: usize, limit: usize) -> Self {
        Self(Arc::new(Shared { process_limit, limit, state: Mutex::default() }))
    }

    /// Returns the most bytes that may be reserved.
    pub fn limit(&self) -> usize {
        self.0.limit
    }

    /// Returns the limit of the process, in bytes.
    pub fn process_limit(&self) -> usize {
        self.0.process_limit
    }

    /// Returns the reserved bytes.
    pub fn used(&self) -> usize {
        self.state().used
    }

    /// Returns the usage by holder.
    pub fn usage(&self) -> BTreeMap<Holder, Usage> {
        self.state().usage.clone()
    }

    /// Opens an empty reservation.
    pub fn open(&self, holder: Holder, origin: Origin) -> Reservation {
        let mut state = self.state();
        let id = state.next_id;
        state.next_id += 1;
        state.usage.entry(holder).or_default().reservations += 1;
        let entry =
            Entry { holder, origin, bytes: 0, is_revocable: false, is_revoked: false, waker: None };
        state.entries.insert(id, entry);
        Reservation { budget: self.clone(), id }
    }

    /// Opens a reservation and grows it to `bytes` at once.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryError::Exhausted`] if there is no room.
    pub fn reserve(
        &self,
        holder: Holder,
        origin: Origin,
        bytes: usize,
    ) -> Result<Reservation, MemoryError> {
        let reservation = self.open(holder, origin);
        reservation.resize(bytes)?;
        Ok(reservation)
    }

    /// Returns the size of the largest reservation that the budget could ever hold, in bytes.
    pub fn largest(&self) -> usize {
        self.0.limit - self.0.limit / SMALL_SHARE
    }

    /// Returns whether `bytes` could ever be reserved by one holder.
    pub fn can_hold(&self, bytes: usize) -> bool {
        bytes <= self.largest()
    }

    /// Returns for how long room has been short at `now`, if it is.
    pub fn short_for(&self, now: Instant) -> Option<Duration> {
        self.state().short_since.map(|since| now.saturating_duration_since(since))
    }

    /// Returns whether resident memory of `bytes` is near the limit of the process.
    pub fn is_resident_high(&self, bytes: usize) -> bool {
        bytes >= self.0.process_limit / 100 * SHORTAGE_PERCENT
    }

    /// Records the resident memory of the process. While it is near the limit of the process, large
    /// bodies and events find no room: something takes memory that no reservation counts.
    pub fn record_resident(&self, bytes: usize) {
        let mut state = self.state();
        state.is_resident_high = self.is_resident_high(bytes);
        let woken = std::mem::take(&mut state.waiting);
        drop(state);
        woken.into_iter().for_each(Waker::wake);
    }

    /// Takes the largest reservation back whose holder reacts to it, unless it is small.
    pub fn revoke_largest(&self) -> Option<Revoked> {
        self.revoke(|entry| entry.bytes > SMALL_RESERVATION)
    }

    /// Takes the largest reservation of a kind back that exceeds `above` bytes.
    pub fn revoke_largest_of(&self, holder: Holder, above: usize) -> Option<Revoked> {
        self.revoke(|entry| entry.holder == holder && entry.bytes > above)
    }

    /// Takes the largest reservation back that is chosen and whose holder reacts to it.
    fn revoke(&self, is_chosen: impl Fn(&Entry) -> bool) -> Option<Revoked> {
        let mut state = self.state();
        let entry = state
            .entries
            .values_mut()
            .filter(|entry| entry.is_revocable && !entry.is_revoked && is_chosen(entry))
            .max_by_key(|entry| entry.bytes)?;
        entry.is_revoked = true;
        let waker = entry.waker.take();
        let revoked =
            Revoked { holder: entry.holder, origin: entry.origin.clone(), bytes: entry.bytes };
        state.usage.entry(revoked.holder).or_default().revoked += 1;
        // Those that wait get a while before the next one is taken back.
        state.short_since = Some(clock::now());
        drop(state);
        waker.into_iter().for_each(Waker::wake);
        Some(revoked)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    /// Returns up to which total the budget may be used for a reservation to grow to `bytes`.
    fn limit_for(&self, bytes: usize) -> usize {
        match bytes <= SMALL_RESERVATION {
            true => self.limit,
            false => self.limit - self.limit / SMALL_SHARE,
        }
    }

    /// Returns the most that connections and streams may use together.
    fn connection_limit(&self) -> usize {
        self.limit - self.limit / TRAFFIC_SHARE
    }
}

impl State {
    /// Sets the size of an entry; returns whether there was room for it.
    fn resize(&mut self, shared: &Shared, id: u64, bytes: usize) -> Result<(), MemoryError> {
        let entry = self.entries.get_mut(&id).ok_or(MemoryError::Revoked)?;
        let usage = self.usage.entry(entry.holder).or_default();
        if bytes <= entry.bytes {
            let freed = entry.bytes - bytes;
            entry.bytes = bytes;
            usage.bytes -= freed;
            self.used -= freed;
            if entry.holder.is_connection() {
                self.connection_bytes -= freed;
            }
            return Ok(());
        }
        if entry.is_revoked {
            return Err(MemoryError::Revoked);
        }
        let grown = bytes - entry.bytes;
        let is_small = bytes <= SMALL_RESERVATION;
        let is_new_work = matches!(entry.holder, Holder::RequestBody | Holder::Event);
        let is_kept_out = self.is_resident_high && is_new_work && !is_small;
        let is_connection = entry.holder.is_connection();
        let of_connections = self.connection_bytes.saturating_add(grown);
        let has_room = self.used.saturating_add(grown) <= shared.limit_for(bytes)
            && (!is_connection || of_connections <= shared.connection_limit());
        if !has_room || is_kept_out {
            return Err(MemoryError::Exhausted(grown));
        }
        if !is_small {
            // Room comes, so nobody has to be broken off.
            self.short_since = None;
        }
        entry.bytes = bytes;
        if is_connection {
            self.connection_bytes = of_connections;
        }
        usage.bytes += grown;
        usage.peak_bytes = usage.peak_bytes.max(usage.bytes);
        self.used += grown;
        Ok(())
    }

    fn bytes_of(&self, id: u64) -> usize {
        self.entries.get(&id).map_or(0, |entry| entry.bytes)
    }

    fn record_refusal(&mut self, id: u64) {
        if let Some(entry) = self.entries.get(&id) {
            self.usage.entry(entry.holder).or_default().refused += 1;
        }
        self.short_since.get_or_insert_with(clock::now);
    }
}

/// A part of the budget, which returns to it when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    id: u64,
}

impl Reservation {
    /// Returns the size in bytes.
    pub fn bytes(&self) -> usize {
        self.budget.state().bytes_of(self.id)
    }

    /// Returns an empty reservation of a budget without a limit, for programs that have none.
    pub fn uncounted() -> Self {
        MemoryBudget::default().open(Holder::Answer, Origin::default())
    }

    /// Returns whether the budget could ever hold a reservation of `bytes`.
    pub fn can_hold(&self, bytes: usize) -> bool {
        self.budget.can_hold(bytes)
    }

    /// Returns the most bytes that the budget could hold.
    pub fn limit(&self) -> usize {
        self.budget.limit()
    }

    /// Returns whether the reservation was taken back.
    pub fn is_revoked(&self) -> bool {
        self.budget.state().entries.get(&self.id).is_some_and(|entry| entry.is_revoked)
    }

    /// Names whose bytes the reservation is for.
    pub fn set_origin(&self, origin: Origin) {
        if let Some(entry) = self.budget.state().entries.get_mut(&self.id) {
            entry.origin = origin;
        }
    }

    /// Changes the size. Shrinking always succeeds.
    ///
    /// # Errors
    ///
    /// Returns a [`MemoryError`] and keeps the size if there is no room.
    pub fn resize(&self, bytes: usize) -> Result<(), MemoryError> {
        let mut state = self.budget.state();
        let before = state.used;
        let resized = state.resize(&self.budget.0, self.id, bytes);
        if resized.is_err() {
            state.record_refusal(self.id);
        }
        let has_shrunk = state.used < before;
        drop(state);
        if has_shrunk {
            self.budget.wake_waiting();
        }
        resized
    }

    /// Grows by `bytes`.
    ///
    /// # Errors
    ///
    /// Returns a [`MemoryError`] and keeps the size if there is no room.
    pub fn try_grow(&self, bytes: usize) -> Result<(), MemoryError> {
        self.resize(self.bytes().saturating_add(bytes))
    }

    /// Shrinks by `bytes`.
    pub fn shrink(&self, bytes: usize) {
        let mut state = self.budget.state();
        let total = state.bytes_of(self.id).saturating_sub(bytes);
        // Shrinking needs no room.
        let _ = state.resize(&self.budget.0, self.id, total);
        drop(state);
        self.budget.wake_waiting();
    }

    /// Grows by `bytes`, waiting up to `patience` for room.
    ///
    /// # Errors
    ///
    /// Returns a [`MemoryError`] and keeps the size if no room came, at once if the budget could
    /// never hold as much or the reservation is revoked.
    pub async fn grow(&self, bytes: usize, patience: Duration) -> Result<(), MemoryError> {
        if !self.budget.can_hold(self.bytes().saturating_add(bytes)) {
            return self.try_grow(bytes);
        }
        match compio::time::timeout(patience, self.grow_when_possible(bytes)).await {
            Ok(result) => result,
            Err(_) => self.try_grow(bytes),
        }
    }

    /// Moves up to `bytes` to another reservation of the same budget, which needs no room. Returns
    /// the number of bytes moved.
    pub fn move_to(&self, other: &Self, bytes: usize) -> usize {
        let mut state = self.budget.state();
        let Some(from) = state.entries.get_mut(&self.id) else { return 0 };
        let moved = bytes.min(from.bytes);
        from.bytes -= moved;
        let holder = from.holder;
        state.usage.entry(holder).or_default().bytes -= moved;
        if let Some(to) = state.entries.get_mut(&other.id) {
            to.bytes += moved;
            let holder = to.holder;
            let usage = state.usage.entry(holder).or_default();
            usage.bytes += moved;
            usage.peak_bytes = usage.peak_bytes.max(usage.bytes);
        }
        moved
    }

    /// Grows by `bytes` once there is room.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryError::Revoked`] if the reservation is revoked.
    pub async fn grow_when_possible(&self, bytes: usize) -> Result<(), MemoryError> {
        poll_fn(|cx| {
            let mut state = self.budget.state();
            let total = state.bytes_of(self.id).saturating_add(bytes);
            match state.resize(&self.budget.0, self.id, total) {
                Err(MemoryError::Exhausted(_)) => {
                    state.short_since.get_or_insert_with(clock::now);
                    state.waiting.push(cx.waker().clone());
                    Poll::Pending
                }
                result => Poll::Ready(result),
            }
        })
        .await
    }

    /// Appends bytes to a buffer of at most `max` bytes whose capacity this reservation counts.
    ///
    /// # Errors
    ///
    /// Returns a [`MemoryError`] and leaves the buffer as it is if there is no room.
    pub fn extend(&self, buf: &mut Vec<u8>, bytes: &[u8], max: usize) -> Result<(), MemoryError> {
        let capacity = capacity_for(buf, bytes.len(), max);
        if capacity > buf.capacity() {
            self.resize(capacity)?;
            buf.reserve_exact(capacity - buf.len());
        }
        buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Waits until the reservation is taken back, which it can be only during the wait. Its holder
    /// has to drop it soon after.
    pub async fn revoked(&self) {
        let _guard = RevocableGuard(self);
        poll_fn(|cx| {
            let mut state = self.budget.state();
            match state.entries.get_mut(&self.id) {
                Some(entry) if !entry.is_revoked => {
                    entry.is_revocable = true;
                    entry.waker = Some(cx.waker().clone());
                    Poll::Pending
                }
                _ => Poll::Ready(()),
            }
        })
        .await;
    }

    /// Attaches the reservation to bytes: it returns to the budget when the last clone of the result
    /// is dropped.
    pub fn attach(self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(HeldBytes { bytes, _reservation: self })
    }
}

impl MemoryBudget {
    fn wake_waiting(&self) {
        let mut state = self.state();
        let woken = std::mem::take(&mut state.waiting);
        if state.used <= self.0.limit / 2 {
            state.short_since = None;
        }
        drop(state);
        woken.into_iter().for_each(Waker::wake);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.budget.state();
        if let Some(entry) = state.entries.remove(&self.id) {
            let usage = state.usage.entry(entry.holder).or_default();
            usage.reservations -= 1;
            usage.bytes -= entry.bytes;
            state.used -= entry.bytes;
            if entry.holder.is_connection() {
                state.connection_bytes -= entry.bytes;
            }
        }
        drop(state);
        self.budget.wake_waiting();
    }
}

/// Ends the time during which a reservation can be taken back.
struct RevocableGuard<'a>(&'a Reservation);

impl Drop for RevocableGuard<'_> {
    fn drop(&mut self) {
        if let Some(entry) = self.0.budget.state().entries.get_mut(&self.0.id) {
            entry.is_revocable = false;
            entry.waker = None;
        }
    }
}

/// Returns the capacity that a buffer of at most `max` bytes needs to take `more`: at least twice its
/// own if it has to grow.
pub(crate) fn capacity_for(buf: &Vec<u8>, more: usize, max: usize) -> usize {
    let len = buf.len() + more;
    if len <= buf.capacity() { buf.capacity() } else { len.max(buf.capacity() * 2).min(max) }
}

/// Bytes with their reservation.
struct HeldBytes<T> {
    bytes: T,
    _reservation: Reservation,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for HeldBytes<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}
