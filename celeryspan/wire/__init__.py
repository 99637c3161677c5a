"""Messages between routers, their encoding and their authentication."""
