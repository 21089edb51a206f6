package tillerlink.net.wire;

/**
 * Exception for received bytes that violate their protocol. The message states the violation in
 * full, for a log line.
 */
public final class MalformedProtocolException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  private final String problem;

  MalformedProtocolException(String message) {
    this(null, message, null);
  }

  /**
   * Creates an exception for a client's request.
   *
   * @param problem the reason as the body of the response states it
   */
  MalformedProtocolException(String problem, String message) {
    this(problem, message, null);
  }

  MalformedProtocolException(String problem, String message, Throwable cause) {
    super(message, cause);
    this.problem = problem;
  }

  /**
   * Returns the reason as the body of the response to the client states it. It is part of the
   * protocol, so clients may match it.
   *
   * @return null if the violation cannot occur in a client's request
   */
  public String problem() {
    return problem;
  }
}
