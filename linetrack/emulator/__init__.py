"""Emulated upstreams and discovery on real loopback sockets.

Imports nothing of the sidecar: an emulator that shared the sidecar's code would share its faults.
"""
