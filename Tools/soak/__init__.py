"""A soak of real lavendercart-entry processes against stand-ins of the users' platform."""
