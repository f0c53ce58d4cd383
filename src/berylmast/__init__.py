"""Load balancer daemons for servers whose load shifts in milliseconds."""
