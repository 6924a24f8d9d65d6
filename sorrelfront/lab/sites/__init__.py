"""Partner sites in memory: seeds, every order of events of a small one, planted defects."""
