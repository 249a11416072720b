"""Emulated upstreams and discovery on real loopback sockets.

Imports nothing of the program: an emulator that shared the program's code would share its faults.
"""
