"""Value that the batch scheduler earns when more jobs arrive than fit."""
