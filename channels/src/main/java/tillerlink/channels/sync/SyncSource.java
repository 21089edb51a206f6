package tillerlink.channels.sync;

import java.util.List;
import tillerlink.cluster.MessageSender;
import tillerlink.messages.channels.ChannelsMessage.Report;
import tillerlink.messages.channels.Span;

/**
 * The state of another gateway as a source of events: its latest report, the request to it that is
 * in flight, if any, and the size of the next request. Times are tenths of a millisecond.
 */
final class SyncSource {
  /**
   * The time without a piece after which a request has timed out. Its events are then requested
   * again, from any gateway.
   */
  private static final long TIMEOUT = Fetcher.TIMEOUT;

  /** The least time to wait, after the last piece, for earlier pieces that it overtook. */
  private static final long MIN_REORDERING_WAIT = 20;

  /** The time for which a source is not asked after a response without a new event. */
  private static final long NO_NEW_EVENTS_BACKOFF = 10_000;

  private static final long NEVER = Long.MAX_VALUE;

  private static final int MIN_PIECE_BYTES = 180;

  /** The number of consecutive responses with new events after which pieces may be larger. */
  private static final int RESPONSES_TO_GROW = 16;

  private static final int INITIAL_WINDOW = 64;
  private static final int MIN_WINDOW = 8;
  private static final int MAX_WINDOW = 2048;

  private static final int NO_REQUEST = 0;

  private Report report;
  private long reportAt;
  private long cutsRequestedAt = Long.MIN_VALUE / 2;

  private long requestInFlight = NO_REQUEST;
  private List<Span> requested = List.of();
  private long sentAt;
  private long progressAt;
  private boolean hasResponded;
  private int newEvents;
  private long completeAt = NEVER;

  private int window = INITIAL_WINDOW;
  private int pieceBytes = MessageSender.SINGLE_DATAGRAM_BYTES;
  private int consecutiveUsefulResponses;
  private long backoffUntil = Long.MIN_VALUE;

  // ---- reports ----

  /** Replaces the latest report. */
  void onReport(long now, Report latest) {
    report = latest;
    reportAt = now;
  }

  /** Returns the latest report. */
  Report report() {
    return report;
  }

  /** Returns when the latest report arrived. */
  long reportAt() {
    return reportAt;
  }

  // ---- cuts ----

  /**
   * Returns whether decided cuts may be requested; if so, records them as requested.
   *
   * @param now the time in tenths of a millisecond
   * @param interval the least time between two requests, in tenths of a millisecond
   */
  boolean beginCutsRequest(long now, long interval) {
    if (now - cutsRequestedAt <= interval) {
      return false;
    }
    cutsRequestedAt = now;
    return true;
  }

  // ---- events ----

  /** Returns the maximum number of events in the next request. */
  int window() {
    return window;
  }

  /** Returns the maximum size of a piece of the response, in bytes. */
  int pieceBytes() {
    return pieceBytes;
  }

  /** Returns the events of the request in flight; empty if there is no request. */
  List<Span> requested() {
    return requested;
  }

  /** Returns whether events may be requested: no request is in flight and no back-off runs. */
  boolean mayRequest(long now) {
    return requestInFlight == NO_REQUEST && now >= backoffUntil;
  }

  /** Records that a request is sent. */
  void beginRequest(long now, long requestNumber, List<Span> spans) {
    requestInFlight = requestNumber;
    progressAt = now;
    sentAt = now;
    requested = spans;
    hasResponded = false;
    newEvents = 0;
  }

  /** Returns whether the request with this number is in flight. */
  boolean awaits(long requestNumber) {
    return requestNumber != NO_REQUEST && requestNumber == requestInFlight;
  }

  /**
   * Records that a piece of the response has arrived. The last piece may have overtaken earlier
   * ones, so those are waited for as long as the last one took to arrive.
   *
   * @param newEventsOfPiece the number of events of the piece that were new
   * @param last whether this is the last piece of the response
   */
  void onPiece(long now, int newEventsOfPiece, boolean last) {
    progressAt = now;
    hasResponded = true;
    newEvents += newEventsOfPiece;
    if (last) {
      completeAt = now + Math.max(MIN_REORDERING_WAIT, now - sentAt);
    }
  }

  /** Returns whether the last piece has arrived, though earlier ones may be missing. */
  boolean hasLastPiece() {
    return completeAt != NEVER;
  }

  /** Returns whether the time to wait for overtaken pieces is over. */
  boolean isComplete(long now) {
    return requestInFlight != NO_REQUEST && completeAt != NEVER && now >= completeAt;
  }

  /** Returns whether the request in flight has had no piece for too long. */
  boolean isTimedOut(long now) {
    return requestInFlight != NO_REQUEST && now - progressAt > TIMEOUT;
  }

  /**
   * Ends the request because its response is complete. The next request may be larger; it is
   * delayed if the response had no new event.
   */
  void complete(long now) {
    backoffUntil = newEvents == 0 ? now + NO_NEW_EVENTS_BACKOFF : now;
    endRequest();
    window = Math.min(MAX_WINDOW, window * 2);
    if (newEvents > 0) {
      consecutiveUsefulResponses++;
      if (consecutiveUsefulResponses >= RESPONSES_TO_GROW) {
        consecutiveUsefulResponses = 0;
        pieceBytes = Math.min(MessageSender.SINGLE_DATAGRAM_BYTES, pieceBytes * 2);
      }
    }
  }

  /**
   * Ends the request because its response did not arrive completely. The next request is smaller.
   */
  void timeOut() {
    consecutiveUsefulResponses = 0;
    endRequest();
    window = Math.max(MIN_WINDOW, window / (hasResponded ? 2 : 4));
    if (!hasResponded) {
      // The link may carry only small messages.
      pieceBytes = Math.max(MIN_PIECE_BYTES, pieceBytes / 2);
    }
  }

  private void endRequest() {
    requestInFlight = NO_REQUEST;
    requested = List.of();
    completeAt = NEVER;
  }

  /**
   * Returns the time at which the request in flight completes or times out; {@link Long#MAX_VALUE}
   * if there is no request.
   */
  long dueAt() {
    return requestInFlight == NO_REQUEST ? NEVER : Math.min(progressAt + TIMEOUT + 1, completeAt);
  }
}
