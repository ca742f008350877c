"""The release of the project; the build reads it from here."""

VERSION = '0.1.0'
