"""Choice of entries and upstreams, retries."""
