"""The adapter that hosts instances of the policy on the simulator's wire."""
