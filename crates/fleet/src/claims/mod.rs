//! At most once: claims on idempotency keys in the key-value service.
