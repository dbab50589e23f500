"""Cost of decisions of the batch scheduler by the size of the fleet."""
