"""System tests that run the real programs on the loopback interface."""
