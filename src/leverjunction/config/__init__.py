"""Settings file of one process: where it listens, who its peers are, where its files live."""
