package tillerlink.net.wire;

/** A configuration is not what it should be; the message says why, for the operator. */
final class InvalidConfigException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  InvalidConfigException(String message) {
    super(message);
  }
}
