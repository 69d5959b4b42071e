"""Programs that start, load and measure balsamdale from outside."""
