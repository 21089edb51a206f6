package tillerlink.net.wire;

/** Exception for a request that cannot be parsed, with the status and problem of the response. */
final class BadRequestException extends RuntimeException {
  private static final long serialVersionUID = 1L;
  private final int status;
  private final String problem;

  BadRequestException(int status, String problem, String message) {
    super(message, null, false, false);
    this.status = status;
    this.problem = problem;
  }

  /** Returns the status code of the response. */
  int status() {
    return status;
  }

  /** Returns the reason as the body of the response states it. */
  String problem() {
    return problem;
  }
}
