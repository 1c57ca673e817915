//! Splits source text of the routing language into tokens.

use std::fmt;

use super::syntax_error::SyntaxError;
use crate::diagnostic::Diagnostics;

/// Kind and value of a token.
#[derive(Clone, PartialEq, Debug)]
pub enum TokenKind {
    /// An identifier or a keyword.
    Name(String),
    /// A quoted text, without its quotes.
    Text(String),
    /// A number that ends in a percent sign.
    Percent(u64),
    /// An operator, a parenthesis or a comma.
    Symbol(&'static str),
    /// End of a stage: a line break or `;`.
    End,
}

impl fmt::Display for TokenKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TokenKind::Name(name) => write!(f, "`{name}`"),
            TokenKind::Text(text) => write!(f, "\"{text}\""),
            TokenKind::Percent(number) => write!(f, "{number}%"),
            TokenKind::Symbol(symbol) => write!(f, "`{symbol}`"),
            TokenKind::End => write!(f, "the end of the stage"),
        }
    }
}

/// Position of a token; line and column are 1-based.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct TextPosition {
    /// Line of the text.
    pub line: usize,
    /// Character of the line.
    pub column: usize,
}

impl TextPosition {
    /// The beginning of a text.
    pub const START: TextPosition = TextPosition { line: 1, column: 1 };

    /// Returns the location of this position in the text at `text_location`.
    pub fn location(self, text_location: &str) -> String {
        format!("{text_location}:{}:{}", self.line, self.column)
    }
}

/// A token and its position.
#[derive(Clone, Debug)]
pub struct Token {
    /// Kind and value.
    pub kind: TokenKind,
    /// Position of the first character.
    pub position: TextPosition,
}

/// Splits the text at `text_location` into tokens and reports invalid characters and tokens.
pub fn tokens(text_location: &str, text: &str, diagnostics: &mut Diagnostics) -> Vec<Token> {
    let mut tokens = Vec::new();
    for (row, line) in text.split('\n').enumerate() {
        let mut lexer = LineLexer::new(line);
        while let Some((column, read)) = lexer.next_token() {
            let position = TextPosition { line: row + 1, column };
            match read {
                Ok(kind) => tokens.push(Token { kind, position }),
                Err(error) => diagnostics.report(position.location(text_location), error),
            }
        }
        let position = TextPosition { line: row + 1, column: line.chars().count() + 1 };
        tokens.push(Token { kind: TokenKind::End, position });
    }
    tokens
}

/// A cursor over the characters of one line.
struct LineLexer {
    characters: Vec<char>,
    next: usize,
}

impl LineLexer {
    fn new(line: &str) -> Self {
        LineLexer { characters: line.chars().collect(), next: 0 }
    }

    /// Returns the next token and its column, or `None` at the end of the line or at a comment.
    fn next_token(&mut self) -> Option<(usize, Result<TokenKind, SyntaxError>)> {
        self.take_while(char::is_whitespace);
        let first = *self.characters.get(self.next)?;
        let second = self.characters.get(self.next + 1);
        if first == '#' || (first == '/' && second == Some(&'/')) {
            return None;
        }
        let column = self.next + 1;
        let token = match first {
            '"' => self.text(),
            _ if first.is_ascii_digit() => self.percent(),
            _ if first.is_alphabetic() || first == '_' => Ok(self.name()),
            _ => self.symbol(first),
        };
        Some((column, token))
    }

    /// Consumes and returns the next characters while they match `fits`.
    fn take_while(&mut self, fits: impl Fn(char) -> bool) -> String {
        let rest = &self.characters[self.next..];
        let taken: String = rest.iter().copied().take_while(|c| fits(*c)).collect();
        self.next += taken.chars().count();
        taken
    }

    fn text(&mut self) -> Result<TokenKind, SyntaxError> {
        self.next += 1;
        let text = self.take_while(|c| c != '"');
        if self.next == self.characters.len() {
            return Err(SyntaxError::UnclosedText);
        }
        self.next += 1;
        Ok(TokenKind::Text(text))
    }

    fn percent(&mut self) -> Result<TokenKind, SyntaxError> {
        let digits = self.take_while(|c| c.is_ascii_digit());
        if self.characters.get(self.next) != Some(&'%') {
            return Err(SyntaxError::NumberWithoutPercent);
        }
        self.next += 1;
        digits.parse().map(TokenKind::Percent).map_err(|_| SyntaxError::NumberTooLarge)
    }

    fn name(&mut self) -> TokenKind {
        TokenKind::Name(self.take_while(|c| c.is_alphanumeric() || matches!(c, '_' | '-' | '.')))
    }

    fn symbol(&mut self, first: char) -> Result<TokenKind, SyntaxError> {
        self.next += 1;
        let symbol = match first {
            '!' if self.characters.get(self.next) == Some(&'=') => {
                self.next += 1;
                "!="
            }
            '=' => "=",
            '(' => "(",
            ')' => ")",
            ',' => ",",
            ';' => return Ok(TokenKind::End),
            other => return Err(SyntaxError::UnexpectedCharacter(other)),
        };
        Ok(TokenKind::Symbol(symbol))
    }
}
