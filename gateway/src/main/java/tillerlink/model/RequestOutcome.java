package tillerlink.model;

/** How a submission ended. */
public enum RequestOutcome {
  FULFILLED,
  TURNED_BACK,
  BROKEN_OFF,
  /** The client went, or the answer reached it without us. */
  LEFT
}
