"""Services of the kernel: the input and output around the decisions."""
