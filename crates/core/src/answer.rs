//! Parts of an answer on its way to a caller of the product's own interface.

use bytes::Bytes;
use compact_str::CompactString;

value! {
    /// Part of an answer.
    pub enum AnswerPart {
        /// Comes first.
        Head {
            /// HTTP status of the target.
            status: u16,
            /// Media type of the body.
            content_type: CompactString,
        },
        /// Bytes that follow all bytes before.
        Data(Bytes),
        /// The answer is whole.
        End,
    }
}
