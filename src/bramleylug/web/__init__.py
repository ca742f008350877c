"""HTTP server on circuits and HTTP client on asyncio."""
