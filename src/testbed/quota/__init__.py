"""Experiment: limits of a tenant over many gateways, in virtual time, with the product's code."""
