package tillerlink.net.state;

import tillerlink.net.wire.ClientAnswer;
import tillerlink.net.wire.HttpParseResult;
import tillerlink.net.wire.HttpResponse;

/**
 * A client's HTTP connection. It processes one request at a time: the next request is parsed only
 * after the answer to the previous one has been written. Confined to the event-loop thread.
 */
final class ClientConnection implements Channel.Owner {
  /** The memory that a connection takes apart from what its input and its output count. */
  private static final int OVERHEAD_BYTES = 4096 + ClientInput.OWN_BYTES;

  private final ClientRequestHandler handler;
  private final RequestRegistry requests;
  private final RetainedBytes retained;
  private final Channel channel;
  private final ClientInput input;
  private final ClientOutput output;
  private final AttendedRequests attended;
  private final ClientTimeouts timeouts;
  private boolean requestInProgress;

  /** The answer to the request in progress is the last one on this connection. */
  private boolean closeAfterAnswer;

  /** The answer that is being sent is the last one on this connection. */
  private boolean sendingLastAnswer;

  private boolean closed;

  /** Why the gateway closed the connection; null if it has not done so. */
  private ClientDisconnectReason localReason;

  /** At least one complete request has been received. */
  private boolean requestReceived;

  /** The number of requests for execution that were accepted on this connection. */
  private int acceptedSubmissions;

  /** The request for whose answer the client is waiting, or null. */
  private PendingResponse awaitedResponse;

  /** The request whose answer is being sent, or null. */
  private PendingResponse deliveredResponse;

  /** The request in progress will be answered by the extension, which has not done so yet. */
  private boolean awaitingExtension;

  /** The reply of the extension to the most recent request that was passed to it, or null. */
  private ExtensionReply extensionReply;

  /** The request whose acceptance is the answer to the most recent HTTP request, or null. */
  private PendingResponse submitted;

  ClientConnection(ClientRequestHandler handler, Channel channel) {
    this.handler = handler;
    this.channel = channel;
    requests = handler.requests();
    retained = handler.retained();
    input = new ClientInput(channel, retained);
    output = new ClientOutput(channel, retained);
    attended = new AttendedRequests(this, requests);
    retained.add(OVERHEAD_BYTES);
    timeouts = new ClientTimeouts(handler, this, input, output);
  }

  ConnectionUse usage() {
    boolean open = requestInProgress || output.isPending() || attended.hasUnsettled();
    return open
        ? ConnectionUse.OPEN
        : !requestReceived
            ? ConnectionUse.UNSPOKEN
            : acceptedSubmissions < 2 ? ConnectionUse.ONCE : ConnectionUse.IDLE;
  }

  long lastActivityAt() {
    return timeouts.lastActivityAt();
  }

  /** Returns whether it may be evicted: not in use, and its client has had time to send bytes. */
  boolean isEvictable() {
    return (closed || usage() != ConnectionUse.OPEN) && timeouts.isEvictionGraceOver();
  }

  boolean isClosed() {
    return closed;
  }

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
    boolean begins = !input.hasPartialRequest();
    input.add(bytes);
    parse();
    // Empty lines begin no request, so that a client cannot keep its connection by sending them.
    if (begins && input.hasPartialRequest()) {
      timeouts.onRequestBegun(requestReceived);
    }
    if (!requestInProgress && !closed && !input.fits()) {
      refuse(requests.overloaded());
    }
  }

  @Override
  public void onWritten() {
    output.onWritten();
    timeouts.onActivity();
    closeIfLastAnswerPassed();
    if (!output.isPending()) {
      endDelivery();
      if (requestInProgress && awaitedResponse == null && !awaitingExtension) {
        requestInProgress = false;
        parse();
        if (handler.closing()) {
          timeouts.closeIfUnused();
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
    boolean answerUnwritten = output.isPending();
    release();
    if (submitted != null && submitted.attendant == attended && answerUnwritten) {
      requests.cancel(submitted);
    }
    if (awaitedResponse != null) {
      awaitedResponse.waitingConnection = null;
    }
    attended.onConnectionEnded();
    if (awaitedResponse != null) {
      requests.onConnectionLost(awaitedResponse);
    }
    endDelivery();
  }

  /** Releases what the connection retains, whatever happens to its requests. */
  private void release() {
    closed = true;
    output.release();
    input.release();
    retained.add(-OVERHEAD_BYTES);
    handler.connections().remove(this);
  }

  /**
   * Answers the request whose event failed with an error, after which the connection ends. If an
   * answer is being written or a result is awaited, the connection is aborted instead, so that the
   * client asks for the result again.
   */
  @Override
  public boolean endAfterFailure() {
    if (extensionReply != null) {
      extensionReply.drop();
    }
    if (closed || output.isPending() || awaitedResponse != null) {
      return false;
    }
    refuse(HttpResponse.problem(500, "Error", 0));
    return true;
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
        timeouts.onRequestComplete();
        submitted = null;
        handler.handle(this, parsed);
      }
    }
    input.updateReadingPaused(requestInProgress, closed);
    if (!input.isReadingPaused()) {
      attended.resume();
    }
  }

  /** Returns whether bytes that the client sent, or its close, may wait to be read. */
  boolean mayHaveUnreadInput() {
    return input.isReadingPaused() || channel.mayHaveUnreadInput();
  }

  boolean isReadingPaused() {
    return input.isReadingPaused();
  }

  // ---- the request in progress ----

  /** Makes the answer to the request in progress the last one on this connection. */
  void closeAfterAnswer() {
    closeAfterAnswer = true;
  }

  /** Defers the answer to the request in progress until the pending response has an answer. */
  void waitFor(PendingResponse pending) {
    awaitedResponse = pending;
    attended.add(pending);
  }

  /** Aborts it because its client waits on another connection or has cancelled the request. */
  void supersede() {
    awaitedResponse = null;
    abort(ClientDisconnectReason.SUPERSEDED);
  }

  /** Sends the answer to the request in progress. */
  void answer(HttpResponse answer) {
    PendingResponse announced = requests.findByResultPath(answer.continuePath());
    if (announced != null) {
      announce(announced);
    } else if (isClosedInFavourOfOthers(answer)) {
      closeAfterAnswer = true;
    }
    if (!closed) {
      HttpResponse sent = output.hasRoomFor(answer) ? answer : requests.overloaded();
      send(sent, sent.retainedBytes());
    }
  }

  /**
   * Returns whether the connection gives its place to other clients after its answer: there are too
   * many connections, and none of its requests was accepted. A client whose requests are refused,
   * or that asks for metrics only, is otherwise never idle and would keep its place. What waits
   * behind a valid request that was refused for overload is answered first.
   */
  private boolean isClosedInFavourOfOthers(HttpResponse answer) {
    return acceptedSubmissions == 0
        && attended.isEmpty()
        && handler.connections().isLimitExceeded()
        && !(answer.isOverload() && (input.hasPartialRequest() || mayHaveUnreadInput()));
  }

  /**
   * Called before the client is told the path of the result of a request, for the first time or
   * because it has submitted the request again.
   */
  private void announce(PendingResponse pending) {
    boolean isNew = !pending.pathAnnounced;
    pending.pathAnnounced = true;
    if (!closed && !pending.delivered) {
      attended.add(pending);
    } else if (isNew) {
      requests.cancel(pending);
    }
    if (isNew) {
      submitted = pending;
      acceptedSubmissions++;
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
    timeouts.onActivity();
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
    timeouts.onActivity();
    closed = true;
    localReason = ClientDisconnectReason.AFTER_REFUSAL;
    input.release();
    output.send(answer.closingConnection(), answer.retainedBytes());
  }

  /**
   * Returns the reply by which the extension answers the request in progress, now or later.
   *
   * @param requestBytes the memory reserved for the request, which the extension holds until then
   */
  GatewayExtension.Reply answerLater(int requestBytes) {
    awaitingExtension = true;
    extensionReply =
        new ExtensionReply(
            requestBytes,
            retained,
            answer -> {
              awaitingExtension = false;
              answer(answer);
            });
    return extensionReply;
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

  /** Closes the connection if a timeout has expired; see {@link ClientTimeouts}. */
  void checkTimeouts() {
    if (input.isReadingPaused()) {
      attended.suspend();
    }
    timeouts.check();
  }

  /** Returns whether a request is in progress: it was received and its answer is not written. */
  boolean isRequestInProgress() {
    return requestInProgress;
  }

  /** Returns whether at least one complete request has been received. */
  boolean hasReceivedRequest() {
    return requestReceived;
  }

  /** Returns whether its client is expected to fetch a result. */
  boolean awaitsFetch() {
    return !attended.isEmpty();
  }

  /** Closes the connection after the answer to the request in progress, or now if it is unused. */
  void onClosing() {
    closeAfterAnswer |= requestInProgress;
    timeouts.closeIfUnused();
  }

  /** Closes the connection without an answer; bytes that still arrive are discarded. */
  void close(ClientDisconnectReason reason) {
    closed = true;
    localReason = reason;
    input.release();
    timeouts.onActivity();
    channel.close();
  }

  /** Aborts the connection immediately, without an answer. */
  void abort(ClientDisconnectReason reason) {
    closed = true;
    localReason = localReason == null ? reason : localReason;
    input.release();
    channel.abort();
    handler.connections().remove(this);
  }
}
