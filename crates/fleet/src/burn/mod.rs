//! Service-level burn per plan and service.
