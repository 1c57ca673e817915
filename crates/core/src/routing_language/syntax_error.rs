//! Syntax errors of the routing language.

use super::lexer::TokenKind;

/// A syntax error. The location of the diagnostic that carries it has its line and column.
#[derive(Clone, PartialEq, Debug, thiserror::Error)]
pub enum SyntaxError {
    /// A quoted text has no closing quote on its line.
    #[error("text without a closing quote")]
    UnclosedText,
    /// A number without a percent sign.
    #[error("a number here is a percentage and ends in %")]
    NumberWithoutPercent,
    /// A number is out of the integer range.
    #[error("number too large")]
    NumberTooLarge,
    /// No token begins with this character.
    #[error("unexpected character {0:?}")]
    UnexpectedCharacter(char),
    /// The grammar does not allow this token here.
    #[error("expected {expected}, found {}", found_text(.found))]
    UnexpectedToken {
        /// Description of the allowed tokens.
        expected: String,
        /// The token found; `None` at the end of the text.
        found: Option<TokenKind>,
    },
    /// A plan has two stages of a kind.
    #[error("this stage stands twice")]
    DuplicateStage,
    /// The plan has no `from` stage, which selects its pools.
    #[error("a plan needs a stage `from <selector> by <label>`")]
    FromMissing,
    /// The plan has no `send` stage, which sets the shards that a query is sent to.
    #[error("a plan needs a stage `send wide` or `send one by key`")]
    SendMissing,
}

fn found_text(found: &Option<TokenKind>) -> String {
    found.as_ref().map_or("the end".into(), TokenKind::to_string)
}
