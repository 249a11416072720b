"""linetrack: a sidecar load balancer for service-to-service calls."""
