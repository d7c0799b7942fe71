"""Everything that the users' platform speaks: names, formats and calls. Nothing in
here decides. Their words are decoded once, into this project's types:

=================  ==========================================================
the platform says  this project says
=================  ==========================================================
machine            box (or node, for a box that runs this program)
zone               data hall
runner, server     one life of a box
hold, look         look
beat               heartbeat
=================  ==========================================================
"""
