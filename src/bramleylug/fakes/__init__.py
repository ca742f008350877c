"""Fakes of the external systems: store, origin, engines, records service."""
