//! Events that were read from an endpoint's answer and not yet forwarded.

use anvilloft_gateway::answer_memory::AnswerCharge;
use anvilloft_gateway::client::ClientError;
use anvilloft_gateway::client::EndpointResponse;
use anvilloft_gateway::sse::MAX_EVENT_BYTES;
use anvilloft_types::prelude::*;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::time::Instant;

use crate::events::EventSplitter;
use crate::resume::is_cut_off;
use crate::resume::is_event_stream;
use crate::stream::StreamError;

/// Maximum length of what precedes the first event with data or an id, in bytes.
const MAX_PREFACE_BYTES: usize = 64 * 1024;

/// What was read from an endpoint.
pub(crate) enum Read {
    /// Whole events, of which one has data or an id.
    Events(Bytes),
    End,
    /// An end that can't be told from a break, of an answer without a length or chunks.
    UnmarkedEnd,
    /// The endpoint broke the stream.
    Broken(ClientError),
    /// Nothing that the caller gets, or the stream goes on elsewhere.
    Nothing,
    /// No endpoint goes on with the stream.
    Failed(StreamError),
}

/// To which endpoint a stream has returned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ReturnedTo {
    /// To none that has sent the last event.
    #[default]
    None,
    /// To the one that has sent the last event, and may have had nothing more to send when
    /// it was left.
    LastSender,
    /// The same, and it has sent an unmarked end after that event already.
    EndedBefore,
}

/// The incomplete event of an answer, and events that wait for the next one with data or
/// an id. Both count towards the memory for answers.
pub(crate) struct EventBuffer {
    pub(crate) splitter: EventSplitter,
    /// Events without data or an id that the caller has not got yet.
    comments: BytesMut,
    memory: AnswerCharge,
    pub(crate) returned_to: ReturnedTo,
}

impl EventBuffer {
    pub(crate) fn new(memory: AnswerCharge) -> Self {
        Self {
            splitter: EventSplitter::default(),
            comments: BytesMut::new(),
            memory,
            returned_to: ReturnedTo::None,
        }
    }

    /// Returns a buffer for the answer of another endpoint that may go on with the stream.
    pub(crate) fn for_next(&self, memory: AnswerCharge) -> Self {
        let mut next = Self::new(memory);
        if self.has_begun() {
            next.splitter = self.splitter.resumed();
        }
        next
    }

    /// Goes on with the buffer of another endpoint's answer.
    pub(crate) fn replace(&mut self, mut next: Self) {
        let mut comments = std::mem::take(&mut self.comments);
        comments.extend_from_slice(&next.comments);
        next.comments = comments;
        *self = next;
    }

    /// Prepares for the answer of another endpoint. `has_begun` tells whether the caller
    /// gets events of the answers so far.
    pub(crate) fn reset(&mut self, has_begun: bool) {
        match has_begun {
            true => self.splitter.resume(),
            false => {
                self.splitter = EventSplitter::default();
                self.comments.clear();
            }
        }
    }

    /// Returns whether the stream has an event with data or an id.
    fn has_begun(&self) -> bool {
        self.splitter.event_count() > 0
    }

    /// Returns whether another endpoint can go on with the answer.
    pub(crate) fn can_resume(&self, answer: &EndpointResponse) -> bool {
        is_event_stream(answer) && self.splitter.can_resume()
    }

    pub(crate) fn has_comments(&self) -> bool {
        !self.comments.is_empty()
    }

    /// Takes the waiting events, and the given ones after them.
    pub(crate) fn take_with(&mut self, events: Bytes) -> Bytes {
        if self.comments.is_empty() {
            return self.memory.detach(events);
        }
        self.comments.extend_from_slice(&events);
        let all = std::mem::take(&mut self.comments).freeze();
        self.memory.detach(all)
    }

    /// Takes all bytes at the regular end of the stream.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.comments
            .extend_from_slice(&self.splitter.take_remainder());
        self.comments.split().freeze()
    }

    /// Reads from an answer once there is memory for what is held. Dropping the future
    /// loses nothing.
    pub(crate) async fn read(&mut self, answer: &mut EndpointResponse, limit: Duration) -> Read {
        match self.next_bytes(answer, limit).await {
            Ok(Some(bytes)) => self.push(&bytes),
            Ok(None) => self.end_of(answer),
            Err(e) => Read::Broken(e),
        }
    }

    /// Reads until an event with data or an id is whole. Dropping the future loses nothing.
    pub(crate) async fn read_events(
        &mut self,
        answer: &mut EndpointResponse,
        limit: Duration,
    ) -> Read {
        loop {
            let read = self.read(answer, limit).await;
            if !matches!(read, Read::Nothing) {
                return read;
            }
        }
    }

    async fn next_bytes(
        &mut self,
        answer: &mut EndpointResponse,
        limit: Duration,
    ) -> Result<Option<Bytes>, ClientError> {
        let held = self.splitter.partial_len() + self.comments.len();
        if self.memory.try_resize(held) {
            return answer.next(limit).await;
        }
        let start = Instant::now();
        let wait = tokio::time::timeout(limit, self.memory.resize(held)).await;
        wait.map_err(|_| ClientError::Timeout("memory of an event"))?;
        answer.next(limit.saturating_sub(start.elapsed())).await
    }

    fn push(&mut self, bytes: &[u8]) -> Read {
        let count_before = self.splitter.event_count();
        let Some(events) = self.splitter.push(bytes) else {
            return Read::Broken(ClientError::Broken("an event that can't follow".into()));
        };
        if self.splitter.event_count() > count_before {
            return Read::Events(events);
        }
        self.comments.extend_from_slice(&events);
        let max_comments = match self.has_begun() {
            true => MAX_EVENT_BYTES,
            false => MAX_PREFACE_BYTES,
        };
        match self.comments.len() > max_comments {
            true => Read::Broken(ClientError::Broken("comments without end".into())),
            false => Read::Nothing,
        }
    }

    /// Returns what the end of an answer means.
    fn end_of(&self, answer: &EndpointResponse) -> Read {
        if !is_cut_off(&self.splitter, answer) {
            return Read::End;
        }
        let is_partial = self.splitter.has_partial();
        match (self.returned_to, answer.is_framed()) {
            (ReturnedTo::LastSender | ReturnedTo::EndedBefore, true) => Read::End,
            // An endpoint that has crashed after its header doesn't end a second answer.
            (ReturnedTo::EndedBefore, false) if !is_partial => Read::End,
            (ReturnedTo::LastSender, false) if !is_partial => Read::UnmarkedEnd,
            _ => Read::Broken(ClientError::Broken("the end before the last event".into())),
        }
    }
}
