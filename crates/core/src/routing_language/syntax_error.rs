//! What can be wrong with a text of the routing language.

use super::lexer::TokenKind;

/// A mistake in a text. Its line and column stand in the place of the
/// diagnostic that carries this.
#[derive(Clone, PartialEq, Debug, thiserror::Error)]
pub enum SyntaxError {
    /// A quoted text does not end in its line.
    #[error("text without a closing quote")]
    UnclosedText,
    /// A number without a percent sign.
    #[error("a number here is a percentage and ends in %")]
    NumberWithoutPercent,
    /// A number that no integer holds.
    #[error("number too large")]
    NumberTooLarge,
    /// A character that begins no token.
    #[error("unexpected character {0:?}")]
    UnexpectedCharacter(char),
    /// Another token than the grammar has here.
    #[error("expected {expected}, found {}", found_text(.found))]
    UnexpectedToken {
        /// What the grammar has here, in words.
        expected: String,
        /// The token that stands here; none at the end of the text.
        found: Option<TokenKind>,
    },
    /// A stage that a plan has once stands a second time.
    #[error("this stage stands twice")]
    DuplicateStage,
    /// The plan does not say which pools it takes.
    #[error("a plan needs a stage `from <selector> by <label>`")]
    FromMissing,
    /// The plan does not say which shards a query is sent to.
    #[error("a plan needs a stage `send wide` or `send one by key`")]
    SendMissing,
}

fn found_text(found: &Option<TokenKind>) -> String {
    found.as_ref().map_or("the end".into(), TokenKind::to_string)
}
