"""The users' platform: its wire forms, decoded once into the project's records.

Why: the platform has names and forms of its own, some of which mislead. They
stand in this package and nowhere else. It translates only: what is decided,
remembered or recovered belongs to the packages that it feeds.
"""
