package tillerlink.net.state;

import tillerlink.net.wire.ClientAnswer;
import tillerlink.net.wire.HttpParseResult;
import tillerlink.net.wire.HttpResponse;
import tillerlink.plain.Units;

/**
 * A client's HTTP connection. It processes one request at a time: the next request is parsed only
 * after the answer to the previous one has been written. Confined to the event-loop thread; all
 * times are tenths of a millisecond.
 */
final class ClientConnection implements Channel.Owner {
  /** How a connection has been used so far, in the order in which connections are evicted. */
  enum Use {
    /** No complete request has been received. */
    UNSPOKEN,
    /** The connection is idle and has carried at most one accepted request for execution. */
    ONCE,
    /** The connection is idle and has carried several accepted requests for execution. */
    IDLE,
    /** A request is in progress, an answer is being written, or a result is still pending. */
    OPEN
  }

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

  /** The memory that a connection takes apart from its input and its output. */
  private static final int OVERHEAD_BYTES = 4096;

  /** How long input is discarded after a refusal, since an early close could lose the answer. */
  private static final long DISCARD_PERIOD = 1000 * Units.TENTHS_PER_MS;

  private final ClientRequestHandler handler;
  private final RequestRegistry requests;
  private final RetainedBytes retained;
  private final Channel channel;
  private final ClientInput input;
  private final ClientOutput output;
  private boolean requestInProgress;

  /** The answer to the request in progress is the last one on this connection. */
  private boolean closeAfterAnswer;

  /** The answer that is being sent is the last one on this connection. */
  private boolean sendingLastAnswer;

  private boolean closed;

  /** An action that may close the connection is waiting for pending reads to be processed. */
  private boolean closePending;

  /** Why the gateway closed the connection; null if it has not done so. */
  private ClientDisconnectReason localReason;

  /** At least one complete request has been received. */
  private boolean requestReceived;

  /** The number of requests for execution that were accepted on this connection. */
  private int acceptedSubmissions;

  /** The start of the read timeout: the connect, for later requests usually the first byte. */
  private long requestStartedAt;

  /** The request for whose answer the client is waiting, or null. */
  private PendingResponse awaitedResponse;

  /** The request whose answer is being sent, or null. */
  private PendingResponse deliveredResponse;

  /** The request in progress will be answered by the extension, which has not done so yet. */
  private boolean awaitingExtension;

  /** The request for execution that the most recent HTTP request submitted, or null. */
  private PendingResponse submitted;

  /** When a request last began to arrive, or an answer was last sent or completely written. */
  private long lastActivityAt;

  ClientConnection(ClientRequestHandler handler, Channel channel) {
    this.handler = handler;
    this.channel = channel;
    requests = handler.requests();
    retained = handler.retained();
    input = new ClientInput(channel, retained);
    output = new ClientOutput(channel, retained);
    retained.add(OVERHEAD_BYTES);
    lastActivityAt = handler.now();
    requestStartedAt = lastActivityAt;
  }

  // ---- connection limit ----

  Use usage() {
    boolean open =
        requestInProgress || output.isPending() || (submitted != null && !submitted.isSettled());
    return open
        ? Use.OPEN
        : !requestReceived ? Use.UNSPOKEN : acceptedSubmissions < 2 ? Use.ONCE : Use.IDLE;
  }

  long lastActivityAt() {
    return lastActivityAt;
  }

  /** Returns whether it may be evicted: not in use, and its client has had time to send bytes. */
  boolean isEvictable() {
    return (closed || usage() != Use.OPEN)
        && handler.now() >= lastActivityAt + EVICTION_GRACE_PERIOD;
  }

  boolean isClosed() {
    return closed;
  }

  // ---- events of the channel ----

  @Override
  public void onOpened() {
    // A client connection is already open when the gateway accepts it.
  }

  @Override
  public void onBytes(byte[] bytes) {
    if (closed) {
      input.countDiscarded(bytes.length);
      return;
    }
    if (!input.hasPartialRequest()) {
      lastActivityAt = handler.now();
      requestStartedAt = requestReceived ? lastActivityAt : requestStartedAt;
    }
    input.add(bytes);
    parse();
    if (!requestInProgress && !closed && input.exceedsLimitWhenFull()) {
      refuse(requests.overloaded());
    }
  }

  @Override
  public void onWritten() {
    output.onWritten();
    lastActivityAt = handler.now();
    closeIfLastAnswerPassed();
    if (!output.isPending()) {
      endDelivery();
      if (requestInProgress && awaitedResponse == null && !awaitingExtension) {
        requestInProgress = false;
        parse();
        if (handler.closing()) {
          closeIfUnused();
        }
      }
    }
  }

  @Override
  public void onClosed(DisconnectReason reason) {
    ClientDisconnectReason remoteReason =
        reason == DisconnectReason.RESET
            ? ClientDisconnectReason.RESET_BY_CLIENT
            : ClientDisconnectReason.CLOSED_BY_CLIENT;
    handler
        .connections()
        .onEnded(
            localReason == null ? remoteReason : localReason,
            awaitedResponse == null ? submitted : awaitedResponse);
    closed = true;
    if (awaitedResponse != null) {
      awaitedResponse.waitingConnection = null;
      requests.onConnectionLost(awaitedResponse);
    }
    if (submitted != null && output.isPending()) {
      requests.cancel(submitted);
    } else if (submitted != null) {
      requests.onConnectionLost(submitted);
    }
    endDelivery();
    output.release();
    input.release();
    retained.add(-OVERHEAD_BYTES);
    handler.connections().remove(this);
  }

  /** Parses the next request unless one is in progress, and passes it to the request handler. */
  private void parse() {
    if (!requestInProgress && !closed) {
      HttpParseResult parsed = input.next();
      if (input.expectsContinue()) {
        output.write(HttpResponse.continueResponse());
      }
      if (parsed != null) {
        requestInProgress = true;
        requestReceived = true;
        requestStartedAt = handler.now();
        submitted = null;
        handler.handle(this, parsed);
      }
    }
    input.updateReadingPaused(requestInProgress, closed);
  }

  // ---- the request in progress ----

  /** Makes the answer to the request in progress the last one on this connection. */
  void closeAfterAnswer() {
    closeAfterAnswer = true;
  }

  /** Called when the request in progress has been accepted for execution. */
  void onSubmitted(PendingResponse pending) {
    submitted = pending;
    acceptedSubmissions++;
  }

  /** Defers the answer to the request in progress until the pending response has an answer. */
  void waitFor(PendingResponse pending) {
    awaitedResponse = pending;
  }

  /** Aborts it because its client waits on another connection or has cancelled the request. */
  void supersede() {
    awaitedResponse = null;
    abort(ClientDisconnectReason.SUPERSEDED);
  }

  /** Sends the answer to the request in progress. */
  void answer(HttpResponse answer) {
    if (!closed) {
      send(answer, answer.retainedBytes());
    }
  }

  /**
   * Sends the final answer of a request as the answer to the request in progress. The registry is
   * notified once that has ended.
   */
  void deliver(PendingResponse pending) {
    deliveredResponse = pending;
    if (closed) {
      endDelivery();
      return;
    }
    // The answer is a part of the memory reserved for the request.
    send(pending.answer, 0);
  }

  private void endDelivery() {
    if (deliveredResponse != null) {
      PendingResponse pending = deliveredResponse;
      deliveredResponse = null;
      requests.onDeliveryEnded(pending);
    }
  }

  private void send(ClientAnswer answer, int retainedBytes) {
    awaitedResponse = null;
    lastActivityAt = handler.now();
    sendingLastAnswer = closeAfterAnswer;
    output.send(closeAfterAnswer ? answer.closingConnection() : answer, retainedBytes);
    closeIfLastAnswerPassed();
  }

  private void closeIfLastAnswerPassed() {
    if (sendingLastAnswer && !closed && output.isAnswerPassed()) {
      close(ClientDisconnectReason.AFTER_ANSWER);
    }
  }

  /**
   * Sends an error answer after which no further request can be parsed from this connection. Input
   * is discarded for a while, because the client may still be sending.
   */
  void refuse(HttpResponse answer) {
    lastActivityAt = handler.now();
    output.send(answer.closingConnection(), answer.retainedBytes());
    closed = true;
    localReason = ClientDisconnectReason.AFTER_REFUSAL;
  }

  /**
   * Returns the reply by which the extension answers the request in progress, now or later.
   *
   * @param requestBytes the bytes of the request that the extension holds until then
   */
  GatewayExtension.Reply answerLater(int requestBytes) {
    awaitingExtension = true;
    return new OnceReply(requestBytes);
  }

  /** Sends the first answer and ignores any further ones. */
  private final class OnceReply implements GatewayExtension.Reply {
    private final int requestBytes;
    private boolean answered;

    OnceReply(int requestBytes) {
      this.requestBytes = requestBytes;
      retained.add(requestBytes);
    }

    @Override
    public void answer(HttpResponse answer) {
      if (!answered) {
        answered = true;
        retained.add(-requestBytes);
        awaitingExtension = false;
        ClientConnection.this.answer(answer);
      }
    }
  }

  /**
   * Returns whether an answer that only this connection knows of is still to be sent: one that is
   * being written or comes from the extension or, during shutdown, the answer to a request that has
   * been received in part.
   */
  boolean hasUnsentAnswer() {
    return output.isPending()
        || (!closed && (awaitingExtension || (handler.closing() && input.hasPartialRequest())));
  }

  // ---- time ----

  /**
   * Closes the connection if a timeout has expired. This guards against clients that connect and
   * send nothing, send only part of a request, send very slowly, stay connected after a request or
   * do not read answers. No timeout applies while a request waits for its answer.
   */
  void checkTimeouts() {
    if (closed || output.isPending()) {
      long limit = closed && !output.isPending() ? DISCARD_PERIOD : WRITE_STALL_TIMEOUT;
      if (handler.now() >= lastActivityAt + limit) {
        abort(ClientDisconnectReason.STALLED);
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
            if (!closed) {
              close.run();
            }
          });
    }
  }

  private boolean hasPartialRequest() {
    return !requestInProgress && input.hasPartialRequest();
  }

  private boolean isIdleTimedOut() {
    return !requestInProgress
        && !input.hasPartialRequest()
        && handler.now()
            >= lastActivityAt + (requestReceived ? IDLE_TIMEOUT : REQUEST_READ_TIMEOUT);
  }

  private void closeIfIdle() {
    if (isIdleTimedOut()) {
      close(ClientDisconnectReason.IDLE);
    }
  }

  private void refusePartialRequest() {
    if (hasPartialRequest()) {
      refuse(HttpResponse.problem(408, "Timeout", 0));
    }
  }

  /**
   * Closes the connection if no request is in progress, none has been received in part, and its
   * client is not expected to fetch a result.
   */
  private void closeIfUnused() {
    if (isUnused()) {
      afterPendingReads(
          () -> {
            if (isUnused()) {
              close(ClientDisconnectReason.SHUTDOWN);
            }
          });
    }
  }

  private boolean isUnused() {
    boolean awaitsResult = submitted != null && !submitted.cancelled && !submitted.delivered;
    return !closed && !requestInProgress && !input.hasPartialRequest() && !awaitsResult;
  }

  /** Closes the connection after the answer to the request in progress, or now if it is unused. */
  void onClosing() {
    closeAfterAnswer |= requestInProgress;
    closeIfUnused();
  }

  /** Closes the connection without an answer; bytes that still arrive are discarded. */
  void close(ClientDisconnectReason reason) {
    closed = true;
    localReason = reason;
    lastActivityAt = handler.now();
    channel.close();
  }

  /** Aborts the connection immediately, without an answer. */
  void abort(ClientDisconnectReason reason) {
    closed = true;
    localReason = localReason == null ? reason : localReason;
    channel.abort();
    handler.connections().remove(this);
  }
}
