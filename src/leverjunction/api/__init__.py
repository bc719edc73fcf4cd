"""HTTP handlers for callers and their OpenAI-compatible shapes."""
