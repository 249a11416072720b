"""The sidecar process: networking on gevent around the load-balancing policy."""
