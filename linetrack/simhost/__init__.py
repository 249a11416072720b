"""The adapter that runs instances of the policy on the simulator's wire protocol."""
