"""What callers, operators and endpoints call over HTTP; decides nothing itself."""
