"""Hosts with a single role, entry or store.

The modules are not imported here, so that a process loads only the code of its
own role.
"""
