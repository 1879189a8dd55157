//! Replies to calls of the control thread.

use anvilloft_wire::CommandReply;
use anvilloft_wire::ControlReply;
use anvilloft_wire::command;
use anvilloft_wire::command::Refused;
use anvilloft_wire::command::Reply;
use anvilloft_wire::control::Answer;
use tokio::sync::oneshot;

/// Sender for the reply to a call.
pub(super) type ReplySender = oneshot::Sender<ControlReply>;

/// Sends an answer to the caller.
pub(super) fn send_answer(reply: ReplySender, answer: Answer) {
    // The caller may have stopped waiting.
    let _ = reply.send(answer.into());
}

/// Returns the reply to a request that carries no result.
pub(crate) fn ok_reply() -> CommandReply {
    CommandReply {
        reply: Some(Reply::Ok(command::Ok {})),
    }
}

/// Returns the answer to a command or membership change that is refused.
pub(super) fn refusal(code: &str, message: String) -> Answer {
    Answer::Applied(CommandReply {
        reply: Some(Reply::Refused(Refused {
            code: code.to_owned(),
            message,
        })),
    })
}
