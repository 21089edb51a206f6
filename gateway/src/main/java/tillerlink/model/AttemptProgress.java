package tillerlink.model;

/** Word on a hop that is still out. */
public enum AttemptProgress {
  PROGRESS,
  SPILLS,
  WAITS
}
