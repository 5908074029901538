"""What is known of each endpoint, and which endpoints there are."""
