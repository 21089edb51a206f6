package tillerlink.net.wire;

/** A result of parsing a client's bytes: a request, or the error that ends the connection. */
public sealed interface HttpParseResult permits HttpRequest, HttpParseError {}
