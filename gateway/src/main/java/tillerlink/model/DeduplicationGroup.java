package tillerlink.model;

/** The group of engines within which repeats of an idempotent request are discarded. */
public enum DeduplicationGroup {
  /** All engines. */
  ALL,
  /** The engines of one zone. */
  ZONE,
  /** The engines of one cell. */
  CELL;

  /**
   * Returns whether a repeat on one engine is discarded if another engine executed the request.
   *
   * @param executing the engine that may have executed the request
   * @param repeating the engine that would receive the repeat
   */
  public boolean covers(Engine executing, Engine repeating) {
    return switch (this) {
      case ALL -> true;
      case ZONE -> executing.zone == repeating.zone;
      case CELL -> executing.cell == repeating.cell;
    };
  }
}
