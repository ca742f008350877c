"""What an upstream host admits, queues and refuses."""
