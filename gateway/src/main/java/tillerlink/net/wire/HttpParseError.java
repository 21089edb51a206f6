package tillerlink.net.wire;

/** Bytes that are no usable call: the status that says so, after which the connection ends. */
public record HttpParseError(int status, String cause) implements HttpParseResult {}
