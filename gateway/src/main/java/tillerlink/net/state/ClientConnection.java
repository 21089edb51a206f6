package tillerlink.net.state;

import java.util.ArrayDeque;
import tillerlink.net.wire.HttpParseResult;
import tillerlink.net.wire.HttpRequestParser;
import tillerlink.net.wire.HttpResponse;
import tillerlink.plain.Units;

/**
 * A client's connection: one call at a time, and the next is read when the answer to the one before
 * is out.
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
   * How long the first whole call may take from the connect on, and a later one from its first byte
   * on.
   */
  private static final long CALL_MOST = 2500 * Units.TENTHS_PER_MS;

  /** Clients close what they leave idle for 4 s. */
  private static final long IDLE_MOST = 5000 * Units.TENTHS_PER_MS;

  /**
   * How long none is closed to make room for others: its first bytes may still wait here to be
   * read.
   */
  private static final long GRACE = 100 * Units.TENTHS_PER_MS;

  private static final long STALLED_MOST = 5000 * Units.TENTHS_PER_MS;

  /**
   * How long, and how much, is read and thrown away after a refusal: an early close might overtake
   * it.
   */
  private static final long LINGER = 1000 * Units.TENTHS_PER_MS;

  private static final int DISCARDED_MOST = 262_144;

  /**
   * More than this beside a call in hand, where memory is short, and nothing further is read until
   * that is answered; else a whole call. Where nothing is read, its end is not seen either.
   */
  private static final int PIPELINED_MOST = 16_384;

  private static final int PIPELINED_WITH_ROOM = 131_072 + PIPELINED_MOST;

  private final ClientRequestHandler door;
  private final Channel channel;
  private final HttpRequestParser reader = new HttpRequestParser();

  /** Sizes of what was written and is not yet out. */
  private final ArrayDeque<Integer> unsent = new ArrayDeque<>();

  private boolean inHand;
  private boolean lastCall;
  private boolean held;
  private boolean over;

  /** It is to end unless something turns out to have come. */
  private boolean endPending;

  /** Why it was ended from here; null while it was not. */
  private ClientDisconnectReason ourEnd;

  /** A whole call has come. */
  private boolean spoken;

  private int handedInSoFar;

  /** When the call that is being read began to come: the first with the connect. */
  private long callSince;

  /** Bytes of it that are counted as kept. */
  private int counted;

  private int discarded;

  /** What it waits for, or null. */
  PendingResponse waitsFor;

  /** Another than this door answers the call in hand, in its time. */
  private boolean owed;

  /** What it handed in by its latest call, or null. */
  private PendingResponse handedIn;

  private long quietSince;

  ClientConnection(ClientRequestHandler door, Channel channel) {
    this.door = door;
    this.channel = channel;
    quietSince = door.now();
    callSince = quietSince;
  }

  Use use() {
    boolean open = inHand || sending() || handedIn != null && !handedIn.settled();
    return open ? Use.OPEN : !spoken ? Use.UNSPOKEN : handedInSoFar < 2 ? Use.ONCE : Use.IDLE;
  }

  long quietSince() {
    return quietSince;
  }

  /** Whether it may go at the bound: not before its client had time to speak. */
  boolean mayGo() {
    return (over || use() != Use.OPEN) && door.now() >= quietSince + GRACE;
  }

  boolean over() {
    return over;
  }

  @Override
  public void onOpened() {
    // It was accepted open.
  }

  @Override
  public void onBytes(byte[] bytes) {
    if (over) {
      discard(bytes.length);
      return;
    }
    if (!reader.midway()) {
      quietSince = door.now();
      callSince = spoken ? quietSince : callSince;
    }
    reader.feed(bytes);
    read();
    if (!inHand && !over && door.full() && reader.waiting() > PIPELINED_MOST) {
      refuse(door.noRoom());
    }
  }

  private void discard(int more) {
    discarded += more;
    if (discarded > DISCARDED_MOST && !held) {
      held = true;
      channel.pauseReading(true);
    }
  }

  @Override
  public void onWritten() {
    door.held(-unsent.poll());
    if (unsent.isEmpty()) {
      quietSince = door.now();
      if (inHand && waitsFor == null && !owed) {
        inHand = false;
        read();
        if (door.closing()) {
          endResting();
        }
      }
    }
  }

  @Override
  public void onClosed(DisconnectReason how) {
    ClientDisconnectReason theirs =
        how == DisconnectReason.RESET
            ? ClientDisconnectReason.RESET_BY_CLIENT
            : ClientDisconnectReason.CLOSED_BY_CLIENT;
    door.connectionEnded(ourEnd == null ? theirs : ourEnd, waitsFor == null ? handedIn : waitsFor);
    over = true;
    if (waitsFor != null) {
      waitsFor.waiting = null;
      door.unattended(waitsFor);
    }
    if (handedIn != null && !unsent.isEmpty()) {
      door.leave(handedIn);
    } else if (handedIn != null) {
      door.unattended(handedIn);
    }
    unsent.forEach(size -> door.held(-size));
    unsent.clear();
    count(0);
    door.forget(this);
  }

  private void count(int kept) {
    door.held(kept - counted);
    counted = kept;
  }

  private void read() {
    if (!inHand && !over) {
      HttpParseResult item = reader.next();
      if (reader.wantsGoOn()) {
        write(HttpResponse.goOn());
      }
      if (item != null) {
        inHand = true;
        spoken = true;
        callSince = door.now();
        handedIn = null;
        door.called(this, item);
      }
    }
    count(reader.waiting());
    boolean hold =
        inHand && reader.waiting() > (door.full() ? PIPELINED_MOST : PIPELINED_WITH_ROOM);
    if (hold != held && !over) {
      held = hold;
      channel.pauseReading(hold);
    }
  }

  private void write(byte[] bytes) {
    unsent.add(bytes.length);
    door.held(bytes.length);
    channel.write(bytes);
  }

  /** The connection ends after the answer to the call in hand. */
  void lastCall() {
    lastCall = true;
  }

  void handedIn(PendingResponse pending) {
    handedIn = pending;
    handedInSoFar++;
  }

  void answer(HttpResponse answer) {
    if (over) {
      return;
    }
    waitsFor = null;
    quietSince = door.now();
    write((lastCall ? answer.closingConnection() : answer).encoded());
    if (lastCall) {
      over = true;
      ourEnd = ClientDisconnectReason.AFTER_ANSWER;
      channel.close();
    }
  }

  /** Answers what can't be read on from; the client may be sending still. */
  void refuse(HttpResponse answer) {
    quietSince = door.now();
    write(answer.closingConnection().encoded());
    over = true;
    ourEnd = ClientDisconnectReason.AFTER_REFUSAL;
  }

  /** The call in hand is answered by another, once, now or later. */
  GatewayExtension.Reply owed() {
    owed = true;
    return new Owed();
  }

  private final class Owed implements GatewayExtension.Reply {
    private boolean given;

    @Override
    public void answer(HttpResponse answer) {
      if (!given) {
        given = true;
        owed = false;
        ClientConnection.this.answer(answer);
      }
    }
  }

  /**
   * Whether this connection alone waits for an answer: one not out yet, or at the end that to a
   * half-read call.
   */
  boolean busy() {
    return sending() || !over && (owed || door.closing() && reader.midway());
  }

  boolean sending() {
    return !unsent.isEmpty();
  }

  /**
   * Guards against clients that come and say nothing, send half a call, trickle, stay after one, or
   * don't read. A call that waits for its answer may take its time.
   */
  void sweep() {
    long now = door.now();
    if (over || sending()) {
      if (now >= quietSince + (over && !sending() ? LINGER : STALLED_MOST)) {
        drop(ClientDisconnectReason.STALLED);
      }
    } else if (!inHand && reader.midway() && now >= callSince + CALL_MOST) {
      afterReading(this::refuseHalf);
    } else if (idle()) {
      afterReading(this::endIdle);
    } else if (door.closing()) {
      endResting();
    }
  }

  /**
   * Guards what has come and was not read yet, for instance while this process stood still: a
   * connection is ended for its client's silence only once all that can be read of it has been
   * read.
   */
  private void afterReading(Runnable end) {
    if (!endPending) {
      endPending = true;
      door.afterReading(
          () -> {
            endPending = false;
            if (!over) {
              end.run();
            }
          });
    }
  }

  private boolean idle() {
    return !inHand
        && !reader.midway()
        && door.now() >= quietSince + (spoken ? IDLE_MOST : CALL_MOST);
  }

  private void endIdle() {
    if (idle()) {
      end(ClientDisconnectReason.IDLE);
    }
  }

  private void refuseHalf() {
    if (!inHand && reader.midway()) {
      refuse(HttpResponse.problem(408, "Timeout", 0));
    }
  }

  /**
   * Ends it if no call is open on it, none has begun to come and its client is not about to make
   * one.
   */
  private void endResting() {
    if (resting()) {
      afterReading(
          () -> {
            if (resting()) {
              end(ClientDisconnectReason.SHUTDOWN);
            }
          });
    }
  }

  private boolean resting() {
    boolean fetches = handedIn != null && !handedIn.left && !handedIn.handedOut;
    return !over && !inHand && !reader.midway() && !fetches;
  }

  /** The door takes nothing more: what waits is the last call, and one that rests ends. */
  void closing() {
    lastCall |= inHand;
    endResting();
  }

  /** Ends it with no word; what its client may be saying in this moment is read and not taken. */
  void end(ClientDisconnectReason why) {
    over = true;
    ourEnd = why;
    quietSince = door.now();
    channel.close();
  }

  /** Ends it at once, with no word. */
  void drop(ClientDisconnectReason why) {
    over = true;
    ourEnd = ourEnd == null ? why : ourEnd;
    channel.abort();
    door.forget(this);
  }
}
