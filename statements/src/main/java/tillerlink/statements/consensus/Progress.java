package tillerlink.statements.consensus;

/** How far the leader knows another voter's log. */
final class Progress {
  private static final int TRIES_LARGE = 3;

  long next;
  long match;

  /** When the last append went out; it is not sent again before its answer or its time. */
  long sentAt = Long.MIN_VALUE / 2;

  long sequence;
  boolean waiting;

  /** Since when nothing was heard of it, as the leader. */
  long heardAt;

  private int unanswered;

  Progress(long next, long now) {
    this.next = next;
    heardAt = now;
  }

  void sent(long now, long number) {
    if (waiting) {
      unanswered++;
    }
    waiting = true;
    sentAt = now;
    sequence = number;
  }

  void heard(long now) {
    heardAt = now;
    waiting = false;
    unanswered = 0;
  }

  /** Links may carry small messages only. */
  int maxBytes() {
    return unanswered >= TRIES_LARGE ? SnapshotFetcher.SMALL : SnapshotFetcher.LARGE;
  }

  /** It started anew: what it said before counts no more. */
  void forget() {
    match = 0;
    waiting = false;
  }
}
