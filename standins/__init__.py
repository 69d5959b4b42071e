"""Small stand-ins for the outside systems that balsamdale meets."""
