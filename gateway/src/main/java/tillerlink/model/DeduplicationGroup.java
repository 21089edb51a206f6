package tillerlink.model;

/** The group of engines that discards the repeats of an idempotent request. */
public enum DeduplicationGroup {
  /** All engines. */
  ALL,
  /** The engines of a zone. */
  ZONE,
  /** The engines of a cell. */
  CELL;

  /** Whether a repeat of what one engine may have run is discarded by the other. */
  public boolean covers(Engine one, Engine other) {
    return switch (this) {
      case ALL -> true;
      case ZONE -> one.zone == other.zone;
      case CELL -> one.cell == other.cell;
    };
  }
}
