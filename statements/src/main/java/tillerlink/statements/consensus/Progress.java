package tillerlink.statements.consensus;

import tillerlink.messages.statements.StatementMessage.Appended;

/** How far the leader knows another voter's log. Times are in tenths of a millisecond. */
final class Progress {
  private static final long RESEND_INTERVAL = 2000;

  /** After so many unanswered appends smaller ones are sent: links may carry nothing larger. */
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

  /** The index of the first entry to be sent next. */
  long nextIndex() {
    return nextIndex;
  }

  /** The index up to which the voter said that its durable log agrees with the leader's. */
  long matchIndex() {
    return matchIndex;
  }

  /** When the voter last responded; at first when this leader's term began. */
  long heardAt() {
    return heardAt;
  }

  /** Whether entries up to that index are missing there and none is awaiting its response. */
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
    long before = nextIndex;
    nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex - 1, response.match() + 1));
    // An append that makes no progress is not repeated at once.
    awaitingResponse = nextIndex >= before;
  }

  /** How many bytes of entries one append may carry. */
  int maxBytes() {
    return unanswered >= UNANSWERED_LARGE_MAX ? SnapshotFetcher.SMALL : SnapshotFetcher.LARGE;
  }

  /** The voter restarted: what it acknowledged before no longer counts. */
  void reset() {
    matchIndex = 0;
    awaitingResponse = false;
  }
}
