"""From files to records: settings and declarations."""
