//! Requests that crash what runs them.

pub mod content;

pub use content::ContentId;
