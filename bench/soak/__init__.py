"""Run the deployment as real processes, with callers, stand-ins and faults."""
