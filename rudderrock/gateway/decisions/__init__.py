"""What a host decides for each request and connection.

Which upstream is asked next, how many extra requests it may get, how many
connections, which queries are admitted, and which hosts run wide queries.
"""
