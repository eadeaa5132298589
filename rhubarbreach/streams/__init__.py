"""Origins of streams: at which software version each of them began.

What two software versions generate does not fit together, so a stream may be
resumed only at endpoints of the version that began it. Entry hosts record the
origins at the stores, as a caller may take its stream up at any entry host,
also after the one that began it was lost.
"""
