package tillerlink.messages.channels;

import tillerlink.messages.Numbered;

/** What an event says. */
public enum Kind implements Numbered {
  /** A cue with its text. */
  CUE(0),
  /** Another text for a cue. */
  CORRECTION(1),
  /** Withdraws a cue. */
  RETRACTION(2),
  /** A cue goes, or went, on the air at a time. */
  AIR(3),
  /** A note to people, about no cue. */
  NOTE(4);

  private final int number;

  Kind(int number) {
    this.number = number;
  }

  @Override
  public int number() {
    return number;
  }
}
