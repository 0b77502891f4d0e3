"""Processing of single requests, from admission to the answer."""
