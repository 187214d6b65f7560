"""Fake platform and fake upstreams, for the demo and tests."""
