"""HTTP/1.1 connections to callers and upstreams, parsed with httptools.

Request targets, headers and bodies keep the bytes that were received.
"""
