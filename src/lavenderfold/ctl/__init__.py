"""The operators' command line, ``lavenderfoldctl``."""
