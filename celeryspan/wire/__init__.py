"""Messages between routers and their codec."""
