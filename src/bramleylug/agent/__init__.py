"""The agent daemon beside each upstream."""
