"""Batch jobs, replicated in one log group and scheduled by its leader.

The package imports none of its modules: entry hosts need only `commands`.
"""
