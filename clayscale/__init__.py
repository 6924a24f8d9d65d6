"""The agent: carries out on real sockets what the decision module `aspentrail` decides."""
