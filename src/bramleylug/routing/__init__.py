"""Load balancing over upstreams, affinity and retries."""
