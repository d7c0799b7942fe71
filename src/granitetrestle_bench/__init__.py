"""Measurements of the product: slopes for the capacity page, a load tool, and
experiments with policies. Nothing here is part of the product."""
