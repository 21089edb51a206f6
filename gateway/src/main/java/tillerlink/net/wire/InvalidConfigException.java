package tillerlink.net.wire;

/**
 * Exception for an invalid configuration. The message is written for the operator: it names the
 * value, what was expected and what was found.
 */
final class InvalidConfigException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  InvalidConfigException(String message) {
    super(message);
  }
}
