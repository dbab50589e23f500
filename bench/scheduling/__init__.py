"""Time of the decisions of the batch scheduler by the number of workers."""
