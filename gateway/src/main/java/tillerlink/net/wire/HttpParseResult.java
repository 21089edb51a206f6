package tillerlink.net.wire;

/** What a client's bytes were parsed to: a request, or the error that ends the connection. */
public sealed interface HttpParseResult permits HttpRequest, HttpParseError {}
