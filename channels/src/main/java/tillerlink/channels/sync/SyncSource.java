package tillerlink.channels.sync;

import java.util.List;
import tillerlink.cluster.MessageSender;
import tillerlink.messages.channels.ChannelsMessage.Report;
import tillerlink.messages.channels.Span;

/**
 * Another gateway as a source of events: its latest report, the request to it that is in flight, if
 * any, and how much to request next. Times are tenths of a millisecond.
 */
final class SyncSource {
  /** A request without a piece for so long is retried, of anyone. */
  private static final long TIMEOUT = Fetcher.TIMEOUT;

  /** After the last piece, the least time to wait for earlier ones that it overtook. */
  private static final long MIN_REORDERING_WAIT = 20;

  /** A source that had nothing of use is not asked for so long. */
  private static final long USELESS_BACKOFF = 10_000;

  private static final long NEVER = Long.MAX_VALUE;

  private static final int MIN_PIECE_BYTES = 180;

  /** Useful responses in a row after which pieces may be larger. */
  private static final int RESPONSES_TO_GROW = 16;

  private static final int INITIAL_WINDOW = 64;
  private static final int MIN_WINDOW = 8;
  private static final int MAX_WINDOW = 2048;

  private static final int NO_REQUEST = 0;

  private Report report;
  private long reportAt;
  private long cutsAskedAt = Long.MIN_VALUE / 2;

  private long number = NO_REQUEST;
  private List<Span> requested = List.of();
  private long sentAt;
  private long progressAt;
  private boolean hasResponded;
  private int taken;
  private long completeAt = NEVER;

  private int window = INITIAL_WINDOW;
  private int pieceBytes = MessageSender.SINGLE_DATAGRAM_BYTES;
  private int usefulInARow;
  private long backoffUntil = Long.MIN_VALUE;

  // ---- reports ----

  void onReport(long now, Report latest) {
    report = latest;
    reportAt = now;
  }

  Report report() {
    return report;
  }

  long reportAt() {
    return reportAt;
  }

  // ---- cuts ----

  /** Whether decided cuts may be requested; they then count as requested. */
  boolean beginCutsRequest(long now, long interval) {
    if (now - cutsAskedAt <= interval) {
      return false;
    }
    cutsAskedAt = now;
    return true;
  }

  // ---- events ----

  /** Events of a request at the most. */
  int window() {
    return window;
  }

  /** Bytes of a piece of the response. */
  int pieceBytes() {
    return pieceBytes;
  }

  /** The events of the request in flight; none if there is none. */
  List<Span> requested() {
    return requested;
  }

  boolean mayRequest(long now) {
    return number == NO_REQUEST && now >= backoffUntil;
  }

  void beginRequest(long now, long requestNumber, List<Span> spans) {
    number = requestNumber;
    progressAt = now;
    sentAt = now;
    requested = spans;
    hasResponded = false;
    taken = 0;
  }

  boolean awaits(long requestNumber) {
    return requestNumber != NO_REQUEST && requestNumber == number;
  }

  /**
   * A piece of the response arrived. Earlier pieces may still be on their way, overtaken by the
   * last one: they are waited for as long as this one took.
   */
  void onPiece(long now, int takenOfPiece, boolean last) {
    progressAt = now;
    hasResponded = true;
    taken += takenOfPiece;
    if (last) {
      completeAt = now + Math.max(MIN_REORDERING_WAIT, now - sentAt);
    }
  }

  boolean hasLastPiece() {
    return completeAt != NEVER;
  }

  boolean isComplete(long now) {
    return number != NO_REQUEST && completeAt != NEVER && now >= completeAt;
  }

  boolean isTimedOut(long now) {
    return number != NO_REQUEST && now - progressAt > TIMEOUT;
  }

  /** The response is complete: the next request may be larger. */
  void complete(long now) {
    backoffUntil = taken == 0 ? now + USELESS_BACKOFF : now;
    endRequest();
    window = Math.min(MAX_WINDOW, window * 2);
    if (taken > 0) {
      usefulInARow++;
      if (usefulInARow >= RESPONSES_TO_GROW) {
        usefulInARow = 0;
        pieceBytes = Math.min(MessageSender.SINGLE_DATAGRAM_BYTES, pieceBytes * 2);
      }
    }
  }

  /** The response did not arrive, or not all of it: the next request is smaller. */
  void timeOut() {
    usefulInARow = 0;
    endRequest();
    window = Math.max(MIN_WINDOW, window / (hasResponded ? 2 : 4));
    if (!hasResponded) {
      // The link may carry small messages only.
      pieceBytes = Math.max(MIN_PIECE_BYTES, pieceBytes / 2);
    }
  }

  private void endRequest() {
    number = NO_REQUEST;
    requested = List.of();
    completeAt = NEVER;
  }

  /** When the request in flight completes or times out. */
  long dueAt() {
    return number == NO_REQUEST ? NEVER : Math.min(progressAt + TIMEOUT + 1, completeAt);
  }
}
