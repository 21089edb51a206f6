package tillerlink.channels.cue;

import tillerlink.messages.Numbered;

/**
 * A condition of a cue that an operator should check. Most of them arise from events whose writers
 * had not seen each other's events.
 */
public enum Flag implements Numbered {
  /**
   * Several texts were written by writers that had not seen each other's texts; the last one in the
   * order of the log is in effect.
   */
  CONCURRENT(1),
  /**
   * A retraction was written without its writer having seen a text, or a text without its writer
   * having seen all retractions. The text is stored; the cue stays retracted.
   */
  RETRACTED_UNSEEN(2),
  /**
   * A correction was written after its writer had seen all retractions. It has no effect; the cue
   * stays retracted.
   */
  CORRECTED_RETRACTED(3),
  /**
   * An event was written, or became stable, after the cue had been on the air. It stays in the log
   * and has no effect on the cue.
   */
  AFTER_AIR(4),
  /**
   * Two air marks were written by writers that had not seen each other's mark; the one with the
   * earlier time is in effect.
   */
  AIR_TWICE(5),
  /** An air mark was written after its air time; the time of writing is in effect instead. */
  AIR_PASSED(6),
  /** An air mark was written on a retracted cue; it has no effect. */
  AIR_OF_RETRACTED(7),
  /**
   * A correction, retraction or air mark was written on a cue that was never written or has been
   * evicted.
   */
  NO_CUE(8);

  private final int number;

  Flag(int number) {
    this.number = number;
  }

  @Override
  public int number() {
    return number;
  }
}
