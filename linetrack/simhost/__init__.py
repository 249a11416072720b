"""The adapter that hosts balancer instances on the simulator's wire."""
