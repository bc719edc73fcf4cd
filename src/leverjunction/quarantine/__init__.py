"""Detection of requests that crash the back ends that run them: evidence, verdicts, treatment.

A start is one instance of a back end. Its end counts as a crash unless it was planned. A request
becomes a suspect by evidence: runs during which a start crashed. With enough evidence a verdict
holds it to be the cause, and gateways refuse it for some time. Performs no I/O.
"""
