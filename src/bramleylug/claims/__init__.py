"""At most one run for each idempotency key of a non-idempotent service."""
