//! Reading whole answers of limited length.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;

use super::{NetError, Result};

/// Reads the whole of `body` if it has at most `limit` bytes.
///
/// # Errors
///
/// Returns [`NetError::TooLong`] as soon as the body is known to be longer, or
/// [`NetError::Broken`] if it is incomplete.
pub async fn read_whole<Source>(body: Source, limit: usize) -> Result<Bytes>
where
    Source: Body<Data = Bytes, Error = hyper::Error>,
{
    let announced = body.size_hint().lower();
    if usize::try_from(announced).map_or(true, |announced| announced > limit) {
        return Err(NetError::TooLong { limit });
    }
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => match error.downcast::<hyper::Error>() {
            Ok(source) => Err(NetError::Broken { source: *source }),
            Err(other) => {
                debug_assert!(other.is::<LengthLimitError>(), "{other}");
                Err(NetError::TooLong { limit })
            }
        },
    }
}
