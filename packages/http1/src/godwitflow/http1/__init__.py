"""Byte-exact HTTP/1.1 over httptools, towards callers and upstreams."""
