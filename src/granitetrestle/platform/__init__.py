"""Adapters to the users' platform: names, formats and calls. No scheduling decision is
made here. The platform's terms are decoded in this package alone, into this project's:

=================  ==========================================================
the platform says  this project says
=================  ==========================================================
machine            box (or node, for a box that runs this program)
zone               data hall
runner, server     one incarnation of a box
hold, look         poll
beat               heartbeat
=================  ==========================================================
"""
