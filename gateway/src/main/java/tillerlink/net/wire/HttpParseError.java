package tillerlink.net.wire;

/**
 * An error in received bytes that are not a valid request. The connection is closed after the
 * response to it.
 *
 * @param status the status code of the response
 * @param problem the reason as the body of the response states it; part of the protocol, so clients
 *     may match it
 * @param message the reason in full, with the expected and the received value
 */
public record HttpParseError(int status, String problem, String message)
    implements HttpParseResult {}
