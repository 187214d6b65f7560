"""Clients of the upstreams that hold the shards."""
