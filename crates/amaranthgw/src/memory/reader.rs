//! Reads whole bodies into reserved memory.

use std::sync::Arc;

use amaranthgw_fleet::memory::ByteHolder;
use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;

use super::{ByteReservation, MemoryBudget, Result};

/// Bytes that are reserved at first for a body of unknown length.
const FIRST_BYTES: usize = 4 * 1024;

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum BodyReadError {
    /// The body is longer than allowed.
    TooLong {
        /// Longest allowed body, in bytes.
        limit: usize,
    },
    /// The process has no memory left for the body.
    NoMemory {
        /// Bytes of the body that had been read.
        read: usize,
    },
    /// The connection broke, or the body is malformed.
    Broken {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
}

impl std::fmt::Display for BodyReadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLong { limit } => write!(f, "body longer than {limit} bytes"),
            Self::NoMemory { read } => write!(f, "no memory left after {read} bytes of the body"),
            Self::Broken { source } => write!(f, "connection lost within the body: {source}"),
        }
    }
}

impl std::error::Error for BodyReadError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Broken { source } => Some(source),
            Self::TooLong { .. } | Self::NoMemory { .. } => None,
        }
    }
}

/// A complete body and its reservation, which ends with the last reference to either.
#[derive(Clone, Debug)]
pub struct HeldBody {
    /// The body.
    pub bytes: Bytes,
    /// Its reservation; `None` if it is empty.
    pub reservation: Option<Arc<ByteReservation>>,
}

impl HeldBody {
    /// Keeps `reservation` as long as `bytes`.
    pub(crate) fn new<Source>(bytes: Source, reservation: ByteReservation) -> Self
    where
        Source: AsRef<[u8]> + Send + 'static,
    {
        let reservation = Arc::new(reservation);
        let owner = HeldBytes {
            bytes,
            _reservation: Arc::clone(&reservation),
        };
        Self {
            bytes: Bytes::from_owner(owner),
            reservation: Some(reservation),
        }
    }
}

/// Bytes of a body with the reservation that they were read into.
struct HeldBytes<Source> {
    bytes: Source,
    _reservation: Arc<ByteReservation>,
}

impl<Source: AsRef<[u8]>> AsRef<[u8]> for HeldBytes<Source> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Reads the whole of `body`, which `holder` sends, if it has at most `limit` bytes. Its memory is reserved
/// in `budget` before it is read: at once where the length is known, else in steps. If it is an answer, `reader`
/// is who gets it.
///
/// # Errors
///
/// Returns [`BodyReadError::TooLong`] as soon as the body is known to be longer,
/// [`BodyReadError::NoMemory`] if the reservation is evicted, or [`BodyReadError::Broken`] if the body
/// is incomplete.
pub async fn read_held<Source>(
    mut body: Source,
    limit: usize,
    budget: &Arc<MemoryBudget>,
    holder: ByteHolder,
    reader: Option<ByteHolder>,
) -> Result<HeldBody>
where
    Source: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let size = body.size_hint();
    let announced = usize::try_from(size.lower()).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(BodyReadError::TooLong { limit });
    }
    if size.exact() == Some(0) {
        return Ok(HeldBody {
            bytes: Bytes::new(),
            reservation: None,
        });
    }
    let mut reservation = budget.reserve_for(holder, reader);
    let mut bytes = Vec::new();
    if size.exact().is_some() {
        grow(&mut bytes, &mut reservation, announced).await?;
    }
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = reservation.evicted() => return Err(BodyReadError::NoMemory { read: bytes.len() }),
        };
        let Some(frame) = frame else {
            break;
        };
        let frame = frame.map_err(|source| BodyReadError::Broken { source })?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let needed = bytes.len() + data.len();
        if needed > limit {
            return Err(BodyReadError::TooLong { limit });
        }
        if needed > reservation.bytes() {
            let step = needed.max(reservation.bytes() * 2).max(FIRST_BYTES);
            grow(&mut bytes, &mut reservation, step.min(limit)).await?;
        }
        bytes.extend_from_slice(data);
        reservation.touch();
    }
    bytes.shrink_to_fit();
    reservation.complete(bytes.len());
    Ok(HeldBody::new(bytes, reservation))
}

/// Reserves `length` bytes in all and makes room for them in `bytes`.
async fn grow(bytes: &mut Vec<u8>, reservation: &mut ByteReservation, length: usize) -> Result<()> {
    if !reservation.grow(length).await {
        return Err(BodyReadError::NoMemory { read: bytes.len() });
    }
    bytes.reserve_exact(length - bytes.len());
    Ok(())
}
