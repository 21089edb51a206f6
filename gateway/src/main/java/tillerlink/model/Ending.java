package tillerlink.model;

/** How a submission ended. */
public enum Ending {
  FULFILLED,
  TURNED_BACK,
  BROKEN_OFF,
  /** The client went, or the answer reached it without us. */
  LEFT
}
