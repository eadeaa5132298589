"""Scheduler: fair queue, slots and routing composed."""
