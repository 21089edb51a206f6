package tillerlink.net.wire;

/** What a client's bytes turn out to hold. */
public sealed interface HttpParseResult permits HttpRequest, HttpParseError {}
