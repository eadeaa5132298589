"""Commands of the command line `rhubarbreach`."""
