package tillerlink.model;

/** Word on a hop that is still out. */
public enum Note {
  PROGRESS,
  SPILLS,
  WAITS
}
