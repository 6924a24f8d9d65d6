"""A stand-in for a coordination service, with trouble on demand."""
