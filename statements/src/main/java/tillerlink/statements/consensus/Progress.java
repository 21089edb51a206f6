package tillerlink.statements.consensus;

import tillerlink.messages.statements.StatementMessage.Appended;

/**
 * The replication progress of one other voter as the leader knows it. Times are in tenths of a
 * millisecond.
 */
final class Progress {
  /** Time after which entries are sent again if no response has arrived. */
  private static final long RESEND_INTERVAL = 2000;

  /**
   * Number of unanswered appends after which smaller ones are sent, because the link may not carry
   * larger messages.
   */
  private static final int UNANSWERED_LARGE_MAX = 3;

  private long nextIndex;
  private long matchIndex;
  private long sentAt = Long.MIN_VALUE / 2;
  private long lastSequence;
  private boolean awaitingResponse;
  private long heardAt;
  private int unanswered;

  Progress(long nextIndex, long now) {
    this.nextIndex = nextIndex;
    heardAt = now;
  }

  /** Returns the index of the first entry to send next. */
  long nextIndex() {
    return nextIndex;
  }

  /** Returns the index up to which the voter's durable log is known to match the leader's. */
  long matchIndex() {
    return matchIndex;
  }

  /** Returns the time of the voter's last response; before the first, the start of the term. */
  long heardAt() {
    return heardAt;
  }

  /**
   * Returns whether the voter lacks entries up to an index and no append awaits its response, or
   * the last one is due to be sent again.
   */
  boolean needsEntries(long lastIndex, long now) {
    return nextIndex <= lastIndex && (!awaitingResponse || now >= sentAt + RESEND_INTERVAL);
  }

  void onSent(long now, long sequence) {
    if (awaitingResponse) {
      unanswered++;
    }
    awaitingResponse = true;
    sentAt = now;
    lastSequence = sequence;
  }

  void onResponse(long now, Appended response, long lastIndex) {
    heardAt = now;
    awaitingResponse = false;
    unanswered = 0;
    if (response.fits()) {
      onAccepted(response, lastIndex);
    } else {
      onRejected(response);
    }
  }

  private void onAccepted(Appended response, long lastIndex) {
    matchIndex = Math.max(matchIndex, Math.min(response.match(), lastIndex));
    nextIndex = Math.max(nextIndex, matchIndex + 1);
    if (response.match() < nextIndex - 1 && response.sequence() == lastSequence) {
      nextIndex = matchIndex + 1;
    }
  }

  private void onRejected(Appended response) {
    long previousNextIndex = nextIndex;
    nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex - 1, response.match() + 1));
    // An append that made no progress is repeated only after the resend interval.
    awaitingResponse = nextIndex >= previousNextIndex;
  }

  /** Returns the limit on the bytes of entries in one append. */
  int maxBytes() {
    return unanswered >= UNANSWERED_LARGE_MAX
        ? SnapshotFetcher.SMALL_PIECE_BYTES
        : SnapshotFetcher.LARGE_PIECE_BYTES;
  }

  /** Discards the acknowledgements of the voter, because it has restarted since. */
  void reset() {
    matchIndex = 0;
    awaitingResponse = false;
  }
}
