"""How fast back ends work: their lasting speed and their slowdown of the moment. Pure."""
