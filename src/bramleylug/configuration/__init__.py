"""Configuration: service files, the accepted document, its publication."""
