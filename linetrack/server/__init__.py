"""The real sidecar: sockets round the decision module, in gevent's greenlets."""
