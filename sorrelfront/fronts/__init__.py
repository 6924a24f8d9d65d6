"""What callers speak: connections are accepted, requests read into calls, answers written in their order."""
