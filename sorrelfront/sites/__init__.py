"""Transport of offers and requests between sites; makes no decisions. Imported only if `[site]` is set."""
