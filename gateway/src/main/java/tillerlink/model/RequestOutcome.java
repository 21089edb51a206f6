package tillerlink.model;

/** How a request ended. */
public enum RequestOutcome {
  SUCCEEDED,
  REJECTED,
  FAILED,
  /** The client went, or the answer reached it without us. */
  CLIENT_DISCONNECTED
}
