package tillerlink.model;

/** Word on an attempt that is still out. */
public enum AttemptProgress {
  PROGRESS,
  SPILLS,
  WAITS
}
