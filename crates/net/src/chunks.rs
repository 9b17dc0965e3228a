//! Bounded queue of chunks between the producer of a body and the connection that sends it.
//!
//! The queue is bounded by chunks and, through a [`Reservation`], by the memory budget of the
//! process. If the reservation is taken back, the queue is emptied at once: the connection of a
//! reader that has stopped reading would otherwise keep it.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use futures_util::future::{Either, select};

use crate::BodyError;
use crate::memory::{MemoryError, Reservation};

/// Largest chunk in a queue, in bytes; larger ones are split. A connection takes one chunk at a time
/// into its own buffers.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// Creates a queue of `depth` chunks that are counted in `held`.
pub(crate) fn channel(depth: usize, held: Reservation) -> (BodySender, BodyReceiver) {
    let queue = Rc::new(RefCell::new(Queue { depth, ..Queue::default() }));
    let tx = BodySender { queue: queue.clone(), held: Arc::new(held), is_finished: false };
    (tx, BodyReceiver { queue })
}

#[derive(Default)]
struct Queue {
    chunks: VecDeque<Bytes>,
    depth: usize,
    state: QueueState,
    is_reader_gone: bool,
    reader: Option<Waker>,
    sender: Option<Waker>,
}

#[derive(Debug, Default, Clone, PartialEq, Eq)]
enum QueueState {
    #[default]
    Open,
    /// The body is complete.
    Finished,
    /// The body ends with an error.
    Broken,
}

impl Queue {
    fn wake_reader(&mut self) {
        if let Some(waker) = self.reader.take() {
            waker.wake();
        }
    }

    fn wake_sender(&mut self) {
        if let Some(waker) = self.sender.take() {
            waker.wake();
        }
    }
}

/// Receiving end of a streaming body.
pub struct BodyReceiver {
    queue: Rc<RefCell<Queue>>,
}

impl fmt::Debug for BodyReceiver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BodyReceiver").field("chunks", &self.queue.borrow().chunks.len()).finish()
    }
}

impl BodyReceiver {
    pub(crate) fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        let mut queue = self.queue.borrow_mut();
        if let Some(chunk) = queue.chunks.pop_front() {
            queue.wake_sender();
            return Poll::Ready(Some(Ok(chunk)));
        }
        match queue.state {
            QueueState::Open => {
                queue.reader = Some(cx.waker().clone());
                Poll::Pending
            }
            QueueState::Finished => Poll::Ready(None),
            QueueState::Broken => {
                Poll::Ready(Some(Err(BodyError::Broken("the rest is missing".to_owned()))))
            }
        }
    }
}

impl Drop for BodyReceiver {
    fn drop(&mut self) {
        let mut queue = self.queue.borrow_mut();
        queue.is_reader_gone = true;
        queue.chunks.clear();
        queue.wake_sender();
    }
}

/// Sending end of a streaming body. The bounded queue provides backpressure. Dropping it ends the
/// body with an error, which tells the reader that it is truncated.
pub struct BodySender {
    queue: Rc<RefCell<Queue>>,
    held: Arc<Reservation>,
    is_finished: bool,
}

impl fmt::Debug for BodySender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BodySender").field("held", &self.held).finish()
    }
}

impl BodySender {
    /// Sends one chunk, waiting while the queue is full or the memory budget has no room.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::Closed`] when the reader has closed the body, and [`BodyError::NoRoom`]
    /// when the memory of the queue was taken back, which breaks the body off.
    pub async fn send(&mut self, mut chunk: Bytes) -> Result<(), BodyError> {
        while !chunk.is_empty() {
            let piece = chunk.split_to(chunk.len().min(MAX_CHUNK_BYTES));
            let room = self.held.grow_when_possible(piece.len());
            self.send_piece(piece, room).await?;
        }
        Ok(())
    }

    /// Sends one chunk of which `from` counts up to `counted` bytes, which move to the queue with it.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::send`].
    pub async fn send_from(
        &mut self,
        mut chunk: Bytes,
        from: &Reservation,
        counted: usize,
    ) -> Result<(), BodyError> {
        let moved = from.move_to(&self.held, counted.min(chunk.len()));
        self.send_counted(chunk.split_to(moved)).await?;
        self.send(chunk).await
    }

    /// Sends one chunk whose bytes the reservation of the queue counts already, waiting while the
    /// queue is full.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::send`].
    pub async fn send_counted(&mut self, mut chunk: Bytes) -> Result<(), BodyError> {
        while !chunk.is_empty() {
            let piece = chunk.split_to(chunk.len().min(MAX_CHUNK_BYTES));
            self.send_piece(piece, async { Ok(()) }).await?;
        }
        Ok(())
    }

    async fn send_piece(
        &self,
        piece: Bytes,
        room: impl Future<Output = Result<(), MemoryError>>,
    ) -> Result<(), BodyError> {
        let result = match select(pin!(self.push(piece, room)), pin!(self.held.revoked())).await {
            Either::Left((result, _)) => result,
            Either::Right(((), _)) => Err(MemoryError::Revoked.into()),
        };
        if let Err(BodyError::NoRoom(_)) = &result {
            let mut queue = self.queue.borrow_mut();
            queue.chunks.clear();
            queue.state = QueueState::Broken;
            queue.wake_reader();
        }
        result
    }

    /// Waits for a place in the queue and for room in the budget, then appends the chunk.
    async fn push(
        &self,
        piece: Bytes,
        room: impl Future<Output = Result<(), MemoryError>>,
    ) -> Result<(), BodyError> {
        self.wait(|queue| queue.chunks.len() <= queue.depth).await?;
        match select(pin!(room), pin!(self.wait(|_| false))).await {
            Either::Left((result, _)) => result?,
            Either::Right((result, _)) => return result,
        }
        let chunk = Bytes::from_owner(QueuedChunk { piece, held: self.held.clone() });
        let mut queue = self.queue.borrow_mut();
        queue.chunks.push_back(chunk);
        queue.wake_reader();
        Ok(())
    }

    /// Waits until the queue is as wanted.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::Closed`] when the reader has closed the body.
    async fn wait(&self, is_ready: impl Fn(&Queue) -> bool) -> Result<(), BodyError> {
        poll_fn(|cx| {
            let mut queue = self.queue.borrow_mut();
            if queue.is_reader_gone {
                return Poll::Ready(Err(BodyError::Closed));
            }
            if is_ready(&queue) {
                return Poll::Ready(Ok(()));
            }
            queue.sender = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Ends the body, which is complete.
    pub fn finish(mut self) {
        self.is_finished = true;
    }

    /// Ends the body with an error, as dropping the sender does.
    pub fn abort(self) {}

    /// Returns whether the reader has closed the body.
    pub fn is_closed(&self) -> bool {
        self.queue.borrow().is_reader_gone
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        let mut queue = self.queue.borrow_mut();
        if queue.state == QueueState::Open {
            queue.state = if self.is_finished { QueueState::Finished } else { QueueState::Broken };
        }
        queue.wake_reader();
    }
}

/// A chunk that is counted until the connection has sent it.
struct QueuedChunk {
    piece: Bytes,
    held: Arc<Reservation>,
}

impl AsRef<[u8]> for QueuedChunk {
    fn as_ref(&self) -> &[u8] {
        &self.piece
    }
}

impl Drop for QueuedChunk {
    fn drop(&mut self) {
        self.held.shrink(self.piece.len());
    }
}
