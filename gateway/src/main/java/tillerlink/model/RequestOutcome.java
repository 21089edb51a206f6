package tillerlink.model;

/** How a request ended for its client. */
public enum RequestOutcome {
  /** It was executed. */
  SUCCEEDED,
  /** It certainly had no effect, or may be sent again. */
  REJECTED,
  /** It may have had an effect. */
  FAILED,
  /** The client disconnected, or the response reached it by another way. */
  CLIENT_DISCONNECTED
}
