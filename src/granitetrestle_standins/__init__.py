"""Small stand-ins for the platform and its boxes, for the demo, the tests and the
measurements. Nothing here is part of the product."""
