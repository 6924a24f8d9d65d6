"""Between sites: carries offers and requests. Decides nothing; by `[site]` alone, and imported only then."""
