"""Small processes that simulate external systems in tests."""
