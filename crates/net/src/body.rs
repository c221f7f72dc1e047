//! Reading whole answers of limited length.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

use super::{NetError, Result};

/// Reads the whole of `body` if it has at most `limit` bytes. The parts are copied into one buffer, as each
/// of them, however small, would cost some dozens of bytes by itself.
///
/// # Errors
///
/// Returns [`NetError::TooLong`] as soon as the body is known to be longer, or
/// [`NetError::Broken`] if it is incomplete.
pub async fn read_whole<Source>(mut body: Source, limit: usize) -> Result<Bytes>
where
    Source: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(NetError::TooLong { limit });
    }
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|source| NetError::Broken { source })?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(NetError::TooLong { limit });
        }
        bytes.extend_from_slice(data);
    }
    Ok(bytes.freeze())
}
