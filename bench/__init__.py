"""Benchmark programs; each prints a table and depends on nothing but the package."""
