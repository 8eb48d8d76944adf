"""Fakes of the platform's services for tests and measurements."""
