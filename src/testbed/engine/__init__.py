"""Stand-in model engine: one pure model, and the HTTP process that steps it in real time."""
