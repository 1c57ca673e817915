//! Parses tokens into stages and selectors. Continues after an error, so that all errors are
//! reported.

use super::lexer::{TextPosition, Token, TokenKind, tokens};
use super::selector::Selector;
use super::syntax_error::SyntaxError;
use crate::diagnostic::{Diagnostic, Diagnostics};

/// A stage and the position of its first token.
#[derive(Clone, Debug)]
pub struct Stage {
    /// The stage's instruction.
    pub verb: Verb,
    /// Position of the first token.
    pub position: TextPosition,
}

/// The instruction of a stage.
#[derive(Clone, PartialEq, Debug)]
pub enum Verb {
    /// `from SELECTOR by LABEL`: the pools, and the label with the names of their shards.
    From {
        /// Selects the pools.
        selector: Selector,
        /// The label whose values are the shards' names.
        shard_label: String,
    },
    /// `send wide`: to every shard.
    SendAll,
    /// `send one by key`: to the shard that the caller's key maps to.
    SendByKey,
    /// `send one by weight`: to a shard selected at random by weight.
    SendByWeight,
    /// `wait N%`: share of the remaining time after which an attempt is hedged.
    Wait(u64),
    /// `stop at quorum after N%`: share of the timeout after which a quorum suffices.
    Stop(u64),
    /// `prefer local` or `prefer any`.
    Prefer {
        /// Whether leafs in the querier's zone are preferred.
        prefer_local: bool,
    },
}

/// Parses the plan at `text_location` into its stages.
pub fn stages(text_location: &str, text: &str, diagnostics: &mut Diagnostics) -> Vec<Stage> {
    let mut parser = Parser::new(text_location, text, diagnostics);
    let mut stages = Vec::new();
    while let Some(Token { kind, position }) = parser.tokens.get(parser.next).cloned() {
        if kind == TokenKind::End {
            parser.next += 1;
            continue;
        }
        match parser.stage() {
            Ok(verb) => stages.push(Stage { verb, position }),
            Err(diagnostic) => {
                diagnostics.push(diagnostic);
                parser.skip_stage();
            }
        }
    }
    stages
}

impl Selector {
    /// Parses a text that is only a selector; an empty text selects everything.
    pub fn parse(
        text_location: &str,
        text: &str,
        diagnostics: &mut Diagnostics,
    ) -> Option<Selector> {
        if text.trim().is_empty() {
            return Some(Selector::All);
        }
        let before = diagnostics.len();
        let mut parser = Parser::new(text_location, text, diagnostics);
        let selector = parser.selector();
        while parser.kind() == Some(&TokenKind::End) {
            parser.next += 1;
        }
        match selector {
            Err(diagnostic) => diagnostics.push(diagnostic),
            Ok(_) if parser.next < parser.tokens.len() => {
                diagnostics.push(parser.unexpected("the end of the selector"));
            }
            Ok(selector) if diagnostics.len() == before => return Some(selector),
            Ok(_) => {}
        }
        None
    }
}

/// A cursor over the tokens of one text.
struct Parser<'a> {
    text_location: &'a str,
    tokens: Vec<Token>,
    next: usize,
}

impl<'a> Parser<'a> {
    fn new(text_location: &'a str, text: &str, diagnostics: &mut Diagnostics) -> Self {
        Parser { text_location, tokens: tokens(text_location, text, diagnostics), next: 0 }
    }

    /// Returns the kind of the next token, or `None` at the end of the text.
    fn kind(&self) -> Option<&TokenKind> {
        self.tokens.get(self.next).map(|token| &token.kind)
    }

    /// Skips the rest of a stage that can't be parsed.
    fn skip_stage(&mut self) {
        while self.kind().is_some_and(|kind| *kind != TokenKind::End) {
            self.next += 1;
        }
    }

    /// Returns the diagnostic for a next token that the grammar does not allow here.
    fn unexpected(&self, expected: &str) -> Diagnostic {
        let last_line = || self.tokens.last().map_or(1, |token| token.position.line);
        let position = match self.tokens.get(self.next) {
            Some(token) => token.position,
            None => TextPosition { line: last_line(), column: 1 },
        };
        let (expected, found) = (expected.to_string(), self.kind().cloned());
        let error = SyntaxError::UnexpectedToken { expected, found };
        Diagnostic::new(position.location(self.text_location), error)
    }

    fn name(&mut self, expected: &str) -> Result<String, Diagnostic> {
        let Some(TokenKind::Name(name)) = self.kind().cloned() else {
            return Err(self.unexpected(expected));
        };
        self.next += 1;
        Ok(name)
    }

    fn text(&mut self) -> Result<String, Diagnostic> {
        let Some(TokenKind::Text(text)) = self.kind().cloned() else {
            return Err(self.unexpected("a text in quotes"));
        };
        self.next += 1;
        Ok(text)
    }

    fn percent(&mut self) -> Result<u64, Diagnostic> {
        match self.kind() {
            Some(&TokenKind::Percent(number)) if (1..=100).contains(&number) => {
                self.next += 1;
                Ok(number)
            }
            _ => Err(self.unexpected("a percentage from 1% to 100%")),
        }
    }

    /// Consumes the keyword or symbol, which must be next.
    fn expect(&mut self, word: &str) -> Result<(), Diagnostic> {
        if self.take(word) { Ok(()) } else { Err(self.unexpected(&format!("`{word}`"))) }
    }

    /// Consumes the keyword or symbol if it is next.
    fn take(&mut self, word: &str) -> bool {
        let is_next = match self.kind() {
            Some(TokenKind::Name(name)) => name == word,
            Some(TokenKind::Symbol(sign)) => *sign == word,
            _ => false,
        };
        self.next += usize::from(is_next);
        is_next
    }

    fn stage(&mut self) -> Result<Verb, Diagnostic> {
        let verb = match self.name("a stage")?.as_str() {
            "from" => self.parse_from()?,
            "send" => self.parse_send()?,
            "wait" => Verb::Wait(self.percent()?),
            "stop" => self.parse_stop()?,
            "prefer" if self.take("local") => Verb::Prefer { prefer_local: true },
            "prefer" if self.take("any") => Verb::Prefer { prefer_local: false },
            "prefer" => return Err(self.unexpected("`local` or `any`")),
            _ => {
                self.next -= 1;
                return Err(self.unexpected("one of `from`, `send`, `wait`, `stop`, `prefer`"));
            }
        };
        match self.kind() {
            None | Some(TokenKind::End) => Ok(verb),
            _ => Err(self.unexpected("the end of the stage")),
        }
    }

    fn parse_from(&mut self) -> Result<Verb, Diagnostic> {
        let selector = self.selector()?;
        self.expect("by")?;
        Ok(Verb::From { selector, shard_label: self.name("a label's name")? })
    }

    fn parse_send(&mut self) -> Result<Verb, Diagnostic> {
        if self.take("wide") {
            return Ok(Verb::SendAll);
        }
        if !self.take("one") {
            return Err(self.unexpected("`wide` or `one by key`"));
        }
        self.expect("by")?;
        if self.take("weight") {
            return Ok(Verb::SendByWeight);
        }
        self.expect("key")?;
        Ok(Verb::SendByKey)
    }

    fn parse_stop(&mut self) -> Result<Verb, Diagnostic> {
        self.expect("at")?;
        self.expect("quorum")?;
        self.expect("after")?;
        Ok(Verb::Stop(self.percent()?))
    }

    /// Parses a selector: one or more conjunctions joined by `or`.
    fn selector(&mut self) -> Result<Selector, Diagnostic> {
        let mut parts = vec![self.conjunction()?];
        while self.take("or") {
            parts.push(self.conjunction()?);
        }
        Ok(if parts.len() == 1 { parts.remove(0) } else { Selector::Or(parts) })
    }

    /// Parses one or more terms joined by `and`.
    fn conjunction(&mut self) -> Result<Selector, Diagnostic> {
        let mut parts = vec![self.term()?];
        while self.take("and") {
            parts.push(self.term()?);
        }
        Ok(if parts.len() == 1 { parts.remove(0) } else { Selector::And(parts) })
    }

    /// Parses a comparison of a label, a selector in parentheses, or `not` before either.
    fn term(&mut self) -> Result<Selector, Diagnostic> {
        if self.take("not") {
            return Ok(Selector::Not(Box::new(self.term()?)));
        }
        if self.take("(") {
            let inner = self.selector()?;
            self.expect(")")?;
            return Ok(inner);
        }
        let label = self.name("a label's name, `not` or `(`")?;
        if self.take("=") {
            return Ok(Selector::Equals(label, self.text()?));
        }
        if self.take("!=") {
            return Ok(Selector::Not(Box::new(Selector::Equals(label, self.text()?))));
        }
        if !self.take("in") {
            return Err(self.unexpected("`=`, `!=` or `in`"));
        }
        Ok(Selector::In(label, self.text_list()?))
    }

    /// Parses a list of texts in parentheses, separated by commas.
    fn text_list(&mut self) -> Result<Vec<String>, Diagnostic> {
        self.expect("(")?;
        let mut texts = vec![self.text()?];
        while self.take(",") {
            texts.push(self.text()?);
        }
        self.expect(")")?;
        Ok(texts)
    }
}
