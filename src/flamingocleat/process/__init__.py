"""Programs, and components that exist once for each process."""
