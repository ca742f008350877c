"""Messages, channels and keys for traffic between the project's processes."""
