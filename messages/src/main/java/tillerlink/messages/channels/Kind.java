package tillerlink.messages.channels;

/** What an event says. The numbers go over the wire: new kinds are added at the end. */
public enum Kind {
  /** A cue with its text. */
  CUE,
  /** Another text for a cue. */
  CORRECTION,
  /** A cue is taken back. */
  RETRACTION,
  /** A cue goes, or went, on the air at a time. */
  AIR,
  /** A note to people, about no cue. */
  NOTE
}
