"""Parts that live for one version of the configuration or of the log."""
