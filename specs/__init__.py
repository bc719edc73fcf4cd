"""Model checks of the core protocols: small specifications, explored whole."""
