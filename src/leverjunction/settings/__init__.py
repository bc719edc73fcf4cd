"""The operators' settings tree: schema, inheritance, and replicated change."""
