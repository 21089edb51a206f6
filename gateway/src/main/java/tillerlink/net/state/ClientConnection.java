package tillerlink.net.state;

import java.util.ArrayDeque;
import tillerlink.net.wire.HttpParseResult;
import tillerlink.net.wire.HttpResponse;
import tillerlink.plain.Units;

/**
 * A client's connection: one HTTP request at a time, and the next is read when the answer to the
 * one before has been written. Owned by the event-loop thread; all times are tenths of a
 * millisecond.
 */
final class ClientConnection implements Channel.Owner {
  /** Of how much use a connection is, least first. */
  enum Use {
    UNSPOKEN,
    ONCE,
    IDLE,
    OPEN
  }

  /**
   * How long the first whole request may take from the connect on, and a later one from its first
   * byte on.
   */
  private static final long MAX_REQUEST_TIME = 2500 * Units.TENTHS_PER_MS;

  /** Clients close what they leave idle for 4 s. */
  private static final long MAX_IDLE = 5000 * Units.TENTHS_PER_MS;

  /**
   * How long none is closed to make room for others: its first bytes may still wait here to be
   * read.
   */
  private static final long GRACE = 100 * Units.TENTHS_PER_MS;

  private static final long MAX_STALL = 5000 * Units.TENTHS_PER_MS;

  /** How long input is read and discarded after a refusal: an early close might overtake it. */
  private static final long LINGER = 1000 * Units.TENTHS_PER_MS;

  private final ClientRequestHandler handler;
  private final RequestRegistry requests;
  private final RetainedBytes retained;
  private final Channel channel;
  private final ClientInput input;

  /** Sizes of what is being written. */
  private final ArrayDeque<Integer> unwritten = new ArrayDeque<>();

  private boolean requestInProgress;
  private boolean closeAfterAnswer;
  private boolean closed;

  /** It is to be closed unless something turns out to have come. */
  private boolean closePending;

  /** Why it was closed from here; null while it was not. */
  private ClientDisconnectReason localReason;

  /** A whole request has come. */
  private boolean spoken;

  /** How many requests for execution were accepted on it. */
  private int submissions;

  /** When the request that is being read began to come: the first with the connect. */
  private long requestSince;

  /** The request whose answer it waits for, or null. */
  private PendingResponse waitsFor;

  /** The extension answers the request in progress, in its time. */
  private boolean answeredLater;

  /** What was accepted by its latest request, or null. */
  private PendingResponse submitted;

  private long quietSince;

  ClientConnection(ClientRequestHandler handler, Channel channel) {
    this.handler = handler;
    this.channel = channel;
    requests = handler.requests();
    retained = handler.retained();
    input = new ClientInput(channel, retained);
    quietSince = handler.now();
    requestSince = quietSince;
  }

  // ---- for the bound on connections ----

  Use use() {
    boolean open = requestInProgress || writing() || (submitted != null && !submitted.settled());
    return open ? Use.OPEN : !spoken ? Use.UNSPOKEN : submissions < 2 ? Use.ONCE : Use.IDLE;
  }

  long quietSince() {
    return quietSince;
  }

  /** Whether it may be closed at the bound: not before its client had time to send something. */
  boolean mayBeClosed() {
    return (closed || use() != Use.OPEN) && handler.now() >= quietSince + GRACE;
  }

  boolean isClosed() {
    return closed;
  }

  // ---- events of the channel ----

  @Override
  public void onOpened() {
    // It was accepted open.
  }

  @Override
  public void onBytes(byte[] bytes) {
    if (closed) {
      input.discard(bytes.length);
      return;
    }
    if (!input.midway()) {
      quietSince = handler.now();
      requestSince = spoken ? quietSince : requestSince;
    }
    input.add(bytes);
    parse();
    if (!requestInProgress && !closed && input.exceedsLimit()) {
      refuse(requests.overloaded());
    }
  }

  @Override
  public void onWritten() {
    retained.add(-unwritten.poll());
    if (unwritten.isEmpty()) {
      quietSince = handler.now();
      if (requestInProgress && waitsFor == null && !answeredLater) {
        requestInProgress = false;
        parse();
        if (handler.closing()) {
          closeIfUnused();
        }
      }
    }
  }

  @Override
  public void onClosed(DisconnectReason how) {
    ClientDisconnectReason remoteReason =
        how == DisconnectReason.RESET
            ? ClientDisconnectReason.RESET_BY_CLIENT
            : ClientDisconnectReason.CLOSED_BY_CLIENT;
    handler
        .connections()
        .onEnded(
            localReason == null ? remoteReason : localReason,
            waitsFor == null ? submitted : waitsFor);
    closed = true;
    if (waitsFor != null) {
      waitsFor.waiting = null;
      requests.onConnectionLost(waitsFor);
    }
    if (submitted != null && !unwritten.isEmpty()) {
      requests.cancel(submitted);
    } else if (submitted != null) {
      requests.onConnectionLost(submitted);
    }
    unwritten.forEach(size -> retained.add(-size));
    unwritten.clear();
    input.release();
    handler.connections().remove(this);
  }

  private void parse() {
    if (!requestInProgress && !closed) {
      HttpParseResult item = input.next();
      if (input.wantsContinue()) {
        write(HttpResponse.goOn());
      }
      if (item != null) {
        requestInProgress = true;
        spoken = true;
        requestSince = handler.now();
        submitted = null;
        handler.handle(this, item);
      }
    }
    input.regulate(requestInProgress, closed);
  }

  private void write(byte[] bytes) {
    unwritten.add(bytes.length);
    retained.add(bytes.length);
    channel.write(bytes);
  }

  // ---- the request in progress ----

  /** The connection closes after the answer to the request in progress. */
  void closeAfterAnswer() {
    closeAfterAnswer = true;
  }

  /** The request in progress was accepted for execution. */
  void onSubmitted(PendingResponse pending) {
    submitted = pending;
    submissions++;
  }

  /** The request in progress is answered once that one is. */
  void waitFor(PendingResponse pending) {
    waitsFor = pending;
  }

  /** Its client waits for the same answer on another connection, or for none any more. */
  void supersede() {
    waitsFor = null;
    abort(ClientDisconnectReason.SUPERSEDED);
  }

  /** Answers the request in progress. */
  void answer(HttpResponse answer) {
    if (closed) {
      return;
    }
    waitsFor = null;
    quietSince = handler.now();
    write((closeAfterAnswer ? answer.closingConnection() : answer).encoded());
    if (closeAfterAnswer) {
      closed = true;
      localReason = ClientDisconnectReason.AFTER_ANSWER;
      channel.close();
    }
  }

  /** Answers what can't be read on from; the client may be sending still. */
  void refuse(HttpResponse answer) {
    quietSince = handler.now();
    write(answer.closingConnection().encoded());
    closed = true;
    localReason = ClientDisconnectReason.AFTER_REFUSAL;
  }

  /** The request in progress is answered by the extension, once, now or later. */
  GatewayExtension.Reply answerLater() {
    answeredLater = true;
    return new OnceReply();
  }

  /** Takes the first answer and drops the others. */
  private final class OnceReply implements GatewayExtension.Reply {
    private boolean given;

    @Override
    public void answer(HttpResponse answer) {
      if (!given) {
        given = true;
        answeredLater = false;
        ClientConnection.this.answer(answer);
      }
    }
  }

  /**
   * Whether this connection alone waits for an answer: one not written yet, or during shutdown that
   * to a half-read request.
   */
  boolean busy() {
    return writing() || (!closed && (answeredLater || (handler.closing() && input.midway())));
  }

  private boolean writing() {
    return !unwritten.isEmpty();
  }

  // ---- time ----

  /**
   * Guards against clients that connect and send nothing, send half a request, trickle, stay after
   * one, or don't read. A request that waits for its answer may take its time.
   */
  void checkTimeouts() {
    if (closed || writing()) {
      long limit = closed && !writing() ? LINGER : MAX_STALL;
      if (handler.now() >= quietSince + limit) {
        abort(ClientDisconnectReason.STALLED);
      }
    } else if (halfRequest() && handler.now() >= requestSince + MAX_REQUEST_TIME) {
      afterPendingReads(this::refuseHalfRequest);
    } else if (idle()) {
      afterPendingReads(this::closeIfIdle);
    } else if (handler.closing()) {
      closeIfUnused();
    }
  }

  /**
   * Guards what has come and was not read yet, for instance while this process was paused: a
   * connection is closed for its client's silence only once all that can be read of it has been
   * read.
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

  private boolean halfRequest() {
    return !requestInProgress && input.midway();
  }

  private boolean idle() {
    return !requestInProgress
        && !input.midway()
        && handler.now() >= quietSince + (spoken ? MAX_IDLE : MAX_REQUEST_TIME);
  }

  private void closeIfIdle() {
    if (idle()) {
      close(ClientDisconnectReason.IDLE);
    }
  }

  private void refuseHalfRequest() {
    if (halfRequest()) {
      refuse(HttpResponse.problem(408, "Timeout", 0));
    }
  }

  /**
   * Closes it if no request is in progress on it, none has begun to come and its client is not
   * about to make one.
   */
  private void closeIfUnused() {
    if (unused()) {
      afterPendingReads(
          () -> {
            if (unused()) {
              close(ClientDisconnectReason.SHUTDOWN);
            }
          });
    }
  }

  private boolean unused() {
    boolean fetches = submitted != null && !submitted.left && !submitted.handedOut;
    return !closed && !requestInProgress && !input.midway() && !fetches;
  }

  /** No further request is accepted: the one in progress is the last, and an unused one closes. */
  void onClosing() {
    closeAfterAnswer |= requestInProgress;
    closeIfUnused();
  }

  /** Closes it with no answer; what its client may be sending in this moment is discarded. */
  void close(ClientDisconnectReason reason) {
    closed = true;
    localReason = reason;
    quietSince = handler.now();
    channel.close();
  }

  /** Ends it at once, with no answer. */
  void abort(ClientDisconnectReason reason) {
    closed = true;
    localReason = localReason == null ? reason : localReason;
    channel.abort();
    handler.connections().remove(this);
  }
}
