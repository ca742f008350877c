"""Load and experiments with regression bounds."""
