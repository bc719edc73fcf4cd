"""Translation between the users' platform and the product: words, headers and shapes only."""
