"""Hosts with one role: entry or store.

The modules are not imported here, because a process only loads its own role.
"""
