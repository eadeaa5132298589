"""Analysis of configurations before they are sent to the store hosts.

The package has no input and output. Its modules are imported one by one, as
programs on machines without the packages of `entry` use a part of them.
"""
