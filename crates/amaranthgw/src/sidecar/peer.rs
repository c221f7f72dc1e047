//! The gRPC service that peers and operators call at a sidecar.
