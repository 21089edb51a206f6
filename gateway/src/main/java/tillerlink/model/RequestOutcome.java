package tillerlink.model;

/** The outcome of a request for its client. */
public enum RequestOutcome {
  /** The request was executed. */
  SUCCEEDED,
  /** The request certainly had no effect, or the client may send it again. */
  REJECTED,
  /** The request failed and may have had an effect. */
  FAILED,
  /** The client disconnected or received its response by another path. */
  CLIENT_DISCONNECTED
}
