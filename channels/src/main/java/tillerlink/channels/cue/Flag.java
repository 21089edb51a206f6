package tillerlink.channels.cue;

/** What people are to look at on a cue; the rows of the table in the design note. */
public enum Flag {
  /**
   * Several texts were written, none of whose writers had seen the other; the last in the log's
   * order stands.
   */
  CONCURRENT,
  /** Taken back by someone who had not seen a text that is kept beside; it stays taken back. */
  RETRACTED_UNSEEN,
  /** Corrected by someone who knew that it was taken back; it stays taken back. */
  CORRECTED_RETRACTED,
  /**
   * Something was written, or came, after it had gone on the air; it is kept in the log and changes
   * nothing.
   */
  AFTER_AIR,
  /** Two air marks, none of whose writers had seen the other; the earlier time stands. */
  AIR_TWICE,
  /** The air mark came when its time had passed; it holds from when it was written. */
  AIR_PASSED,
  /** An air mark for a cue that was taken back; it has no effect. */
  AIR_OF_RETRACTED,
  /**
   * A correction, retraction or air mark of a cue that nobody wrote, or that is no longer known.
   */
  NO_CUE
}
