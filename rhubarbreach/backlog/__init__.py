"""Batch jobs that are replicated whole and run by the leader.

The modules are not imported here: an entry host needs the commands only.
"""
