"""Rates of client accounts and concurrency of endpoints."""
