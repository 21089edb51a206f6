package tillerlink.messages.channels;

import tillerlink.messages.Numbered;

/** The kind of an event. */
public enum Kind implements Numbered {
  /** Publishes a cue with its text. */
  CUE(0),
  /** Replaces the text of a cue. */
  CORRECTION(1),
  /** Withdraws a cue. */
  RETRACTION(2),
  /** Records the time at which a cue goes or went on air. */
  AIR(3),
  /** Adds a note for human readers that refers to no cue. */
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
