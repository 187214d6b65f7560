"""HTTP/1.1 to callers and upstreams over httptools, preserving bytes."""
