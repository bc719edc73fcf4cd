"""Development tools: stand-ins, fleet launcher, fault injector, simulator, load and scale runs.

The product never imports this package.
"""
