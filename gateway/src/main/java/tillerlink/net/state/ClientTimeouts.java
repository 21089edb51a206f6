package tillerlink.net.state;

import tillerlink.net.wire.HttpResponse;
import tillerlink.plain.Units;

/**
 * The time-outs of one client connection. They guard against clients that connect and send nothing,
 * send only part of a request, send very slowly, stay connected after a request or do not read
 * answers. None applies while a request waits for its answer. Confined to the event-loop thread;
 * all times are tenths of a millisecond.
 */
final class ClientTimeouts {
  /**
   * The time in which a client has to send a complete request: the first one counted from the
   * connect, a later one from its first byte.
   */
  private static final long REQUEST_READ_TIMEOUT = 2500 * Units.TENTHS_PER_MS;

  /** Clients close connections that have been idle for 4 s, so 5 s gives them time to do so. */
  private static final long IDLE_TIMEOUT = 5000 * Units.TENTHS_PER_MS;

  /**
   * The time after the last activity during which a connection is not evicted at the connection
   * limit, because the first bytes that its client has sent may still be waiting to be read.
   */
  private static final long EVICTION_GRACE_PERIOD = 100 * Units.TENTHS_PER_MS;

  /** How long a write may stay unfinished before the connection is aborted. */
  private static final long WRITE_STALL_TIMEOUT = 5000 * Units.TENTHS_PER_MS;

  /** How long input is discarded after a refusal, since an early close could lose the answer. */
  private static final long DISCARD_PERIOD = 1000 * Units.TENTHS_PER_MS;

  private final ClientRequestHandler handler;
  private final ClientConnection connection;
  private final ClientInput input;
  private final ClientOutput output;

  /** An action that may close the connection is waiting for pending reads to be processed. */
  private boolean closePending;

  /** The start of the read timeout: the connect, for later requests usually the first byte. */
  private long requestStartedAt;

  /** When a request last began to arrive, or a piece of an answer was last sent or written. */
  private long lastActivityAt;

  ClientTimeouts(
      ClientRequestHandler handler,
      ClientConnection connection,
      ClientInput input,
      ClientOutput output) {
    this.handler = handler;
    this.connection = connection;
    this.input = input;
    this.output = output;
    lastActivityAt = handler.now();
    requestStartedAt = lastActivityAt;
  }

  /** Called when an answer is sent, and when a piece of one was written. */
  void onActivity() {
    lastActivityAt = handler.now();
  }

  /**
   * Called when a request has begun to arrive and is not complete.
   *
   * @param isLater whether a complete request was received before
   */
  void onRequestBegun(boolean isLater) {
    lastActivityAt = handler.now();
    requestStartedAt = isLater ? lastActivityAt : requestStartedAt;
  }

  /** Called when a request has been received completely. */
  void onRequestComplete() {
    lastActivityAt = handler.now();
    requestStartedAt = lastActivityAt;
  }

  long lastActivityAt() {
    return lastActivityAt;
  }

  /** Returns whether the client has had time to send bytes since the last activity. */
  boolean isEvictionGraceOver() {
    return handler.now() >= lastActivityAt + EVICTION_GRACE_PERIOD;
  }

  /** Closes the connection if a timeout has expired. */
  void check() {
    if (connection.isClosed() || output.isPending()) {
      long limit =
          connection.isClosed() && !output.isPending() ? DISCARD_PERIOD : WRITE_STALL_TIMEOUT;
      if (handler.now() >= lastActivityAt + limit) {
        connection.abort(ClientDisconnectReason.STALLED);
      }
    } else if (hasPartialRequest() && handler.now() >= requestStartedAt + REQUEST_READ_TIMEOUT) {
      afterPendingReads(this::refusePartialRequest);
    } else if (isIdleTimedOut()) {
      afterPendingReads(this::closeIfIdle);
    } else if (handler.closing()) {
      closeIfUnused();
    }
  }

  /**
   * Runs an action that closes the connection, once all input that can be read has been processed.
   * This prevents a connection from being closed as idle although input has arrived that was not
   * read yet, for instance because this process was paused.
   */
  private void afterPendingReads(Runnable close) {
    if (!closePending) {
      closePending = true;
      handler.afterPendingReads(
          () -> {
            closePending = false;
            if (!connection.isClosed()) {
              close.run();
            }
          });
    }
  }

  private boolean hasPartialRequest() {
    return !connection.isRequestInProgress() && input.hasPartialRequest();
  }

  private boolean isIdleTimedOut() {
    long timeout = connection.hasReceivedRequest() ? IDLE_TIMEOUT : REQUEST_READ_TIMEOUT;
    return !connection.isRequestInProgress()
        && !input.hasPartialRequest()
        && handler.now() >= lastActivityAt + timeout;
  }

  private void closeIfIdle() {
    if (isIdleTimedOut()) {
      connection.close(ClientDisconnectReason.IDLE);
    }
  }

  private void refusePartialRequest() {
    if (hasPartialRequest()) {
      connection.refuse(HttpResponse.problem(408, "Timeout", 0));
    }
  }

  /**
   * Closes the connection if no request is in progress, none has been received in part, and its
   * client is not expected to fetch a result.
   */
  void closeIfUnused() {
    if (isUnused()) {
      afterPendingReads(
          () -> {
            if (isUnused()) {
              connection.close(ClientDisconnectReason.SHUTDOWN);
            }
          });
    }
  }

  private boolean isUnused() {
    return !connection.isClosed()
        && !connection.isRequestInProgress()
        && !input.hasPartialRequest()
        && !connection.awaitsFetch();
  }
}
