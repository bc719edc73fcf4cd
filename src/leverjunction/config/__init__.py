"""Configuration files of processes: listen addresses, peers and data folder."""
