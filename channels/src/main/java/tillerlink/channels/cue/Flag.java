package tillerlink.channels.cue;

import tillerlink.messages.Numbered;

/** What people should look at on a cue; the rows of the table in the design note. */
public enum Flag implements Numbered {
  /**
   * Several texts were written by writers that had not seen each other's; the last in the log's
   * order is in effect.
   */
  CONCURRENT(1),
  /** Retracted by a writer that had not seen a text, which is kept; the cue stays retracted. */
  RETRACTED_UNSEEN(2),
  /** Corrected by a writer that had seen the retraction; the cue stays retracted. */
  CORRECTED_RETRACTED(3),
  /**
   * An event was written, or became stable, after the cue had been on the air; it is kept in the
   * log and changes nothing.
   */
  AFTER_AIR(4),
  /** Two air marks by writers that had not seen each other's; the earlier time is in effect. */
  AIR_TWICE(5),
  /** The air mark was written after its time; it counts from when it was written. */
  AIR_PASSED(6),
  /** An air mark of a retracted cue; it has no effect. */
  AIR_OF_RETRACTED(7),
  /**
   * A correction, retraction or air mark of a cue that nobody wrote, or that is no longer known.
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
