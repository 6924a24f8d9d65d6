"""A stand-in for a ZooKeeper ensemble, with faults on demand."""
