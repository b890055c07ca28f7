"""The process that follows the log, keeps membership and plans placement."""
