//! Replies to those who asked the control thread.

use anvilloft_wire::CommandReply;
use anvilloft_wire::ControlReply;
use anvilloft_wire::command;
use anvilloft_wire::command::Refused;
use anvilloft_wire::command::Reply;
use anvilloft_wire::control::Answer;
use tokio::sync::oneshot;

/// Where the reply to a call goes.
pub(super) type ReplyTo = oneshot::Sender<ControlReply>;

/// Sends an answer.
pub(super) fn answer(reply: ReplyTo, answer: Answer) {
    // The asker may have stopped waiting.
    let _ = reply.send(answer.into());
}

/// Returns the reply of a command or change that needs no other.
pub(super) fn done() -> CommandReply {
    CommandReply {
        reply: Some(Reply::Ok(command::Ok {})),
    }
}

/// Returns the answer to a command or change that breaks a rule.
pub(super) fn refused(code: &str, message: String) -> Answer {
    Answer::Applied(CommandReply {
        reply: Some(Reply::Refused(Refused {
            code: code.to_owned(),
            message,
        })),
    })
}
