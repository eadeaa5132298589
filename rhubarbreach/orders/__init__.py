"""Orders to endpoints under leases."""
