"""Weight distribution and request routing for bursts."""
