"""Order in which waiting work is served."""
