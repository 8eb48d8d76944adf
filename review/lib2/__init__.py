"""Stand-ins and helpers of the cases 6 to 10, with the standard library only."""
