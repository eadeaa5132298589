"""Replicated log groups.

The modules are not imported here: an entry host needs the client only.
"""
