"""The load generator: an open loop whose arrivals are fixed before the first request is sent."""
