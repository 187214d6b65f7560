"""Clients and in-memory fakes of the platform's object API."""
