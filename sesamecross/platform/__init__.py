"""The users' platform: decoders and encoders of its wire formats.

The platform's own names, some of which are misleading, appear in this package
only. It only translates; decisions, state and recovery belong to the packages
that use it.
"""
