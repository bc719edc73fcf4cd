"""Requests that end the back ends which run them: evidence, verdicts, and what follows. Pure."""
