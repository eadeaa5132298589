"""Random losses of stores in virtual time, over the real decisions."""
