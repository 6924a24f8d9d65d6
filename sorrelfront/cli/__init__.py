"""The `sorrelfront` command."""
