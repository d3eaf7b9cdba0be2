//! Parts of an answer that is forwarded to a caller of lapismoor's own HTTP API.

use bytes::Bytes;
use compact_str::CompactString;

value! {
    /// One part of an answer; the parts are a head, any number of data parts, and an end.
    pub enum AnswerPart {
        /// Status and headers; always the first part.
        Head {
            /// HTTP status that the target sent.
            status: u16,
            /// Media type of the body.
            content_type: CompactString,
        },
        /// The next bytes of the body.
        Data(Bytes),
        /// Marks the answer as complete.
        End,
    }
}
