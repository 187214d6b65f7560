"""Real nodes under randomized faults, and the promises checked."""
