"""HTTP serving on circuits.web with flow control."""
