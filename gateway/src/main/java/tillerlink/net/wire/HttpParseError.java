package tillerlink.net.wire;

/**
 * Received bytes are no usable request; the connection ends after the response that says so.
 *
 * @param status the status of that response
 * @param cause what is wrong, for that response
 */
public record HttpParseError(int status, String cause) implements HttpParseResult {}
