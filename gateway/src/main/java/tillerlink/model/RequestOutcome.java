package tillerlink.model;

/** How a submission ended. */
public enum RequestOutcome {
  SUCCEEDED,
  REJECTED,
  FAILED,
  /** The client went, or the answer reached it without us. */
  CLIENT_DISCONNECTED
}
