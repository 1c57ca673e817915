//! A querier's place among the others: the news it follows, its tenure, its
//! cohort, its duties, and whether it is cut off. No I/O.

pub mod attest;
pub mod duty;
pub mod feed;
pub mod news;
pub mod ring;
pub mod standing;
pub mod step;
pub mod watch;
