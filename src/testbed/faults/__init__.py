"""Package; see its modules."""
