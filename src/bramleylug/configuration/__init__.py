"""Service files, the accepted document and its publication."""
