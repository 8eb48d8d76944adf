"""``lavenderfoldctl``, the command line tool for operators."""
