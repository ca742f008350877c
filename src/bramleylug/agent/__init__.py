"""The agent daemon, which runs on the host of each upstream."""
