package tillerlink.net.state;

import java.io.ByteArrayOutputStream;
import java.util.function.Function;
import tillerlink.model.Attempt;
import tillerlink.net.wire.ResultEncoder;
import tillerlink.plain.Units;
import tillerlink.port.SendVerdict;

/**
 * An attempt in flight: the connection that carries it, and what has come of its result. Owned by
 * the event-loop thread.
 */
public final class InFlightAttempt {
  /** The number of its write while it was not handed to a channel. */
  static final long UNSENT = Long.MAX_VALUE;

  public final Attempt attempt;
  final PendingResponse pending;

  /** Its line-protocol connection, or null. */
  EngineConnection connection;

  /** The number of its write on that connection; none of it is written before that one is. */
  long writeNumber = UNSENT;

  /** The pages of its result, null where one is missing; null before the first has come. */
  byte[][] pages;

  int missingPages;

  /** Bytes of its result that have come. */
  int bytes;

  /** Its guard was notified that it may be written. */
  boolean startNotified;

  /** It was not written, for its guard did not hold. */
  boolean refusedByGuard;

  /** Its guard held after all of it was written. */
  boolean confirmedByGuard;

  /** Its guard did not hold any more after the write: nothing that comes of it is handed out. */
  boolean fencedOff;

  /** How often the rest of its result was requested on a further connection. */
  private int resumptions;

  /** A result that comes as one body, from its first byte on; null before. */
  private ByteArrayOutputStream result;

  private final Function<Attempt, SendVerdict> policyCheck;

  /**
   * @param policyCheck whether an attempt may still be written
   */
  InFlightAttempt(
      Attempt attempt, PendingResponse pending, Function<Attempt, SendVerdict> policyCheck) {
    this.attempt = attempt;
    this.pending = pending;
    this.policyCheck = policyCheck;
  }

  /** The id by which the client correlates its request. */
  public String id() {
    return pending.id();
  }

  /** The id of its engine, for the log. */
  String engineId() {
    return engineAddress().id;
  }

  /** How its engine is reached. */
  EngineTransport transport() {
    return engineAddress().transport;
  }

  private EngineAddress engineAddress() {
    return (EngineAddress) attempt.engine.tag;
  }

  /** The name of its request class. */
  public String requestClass() {
    return pending.submitted.requestClass();
  }

  /** The idempotency key, or null. */
  public String key() {
    return pending.submitted.key();
  }

  /** The statement to execute. */
  public byte[] statement() {
    return pending.submitted.statement();
  }

  /** How long the client still waits, in milliseconds; 1 at least. */
  public long millisLeft(long now) {
    return Math.max(1, (pending.request.clientDeadline - now) / Units.TENTHS_PER_MS);
  }

  // ---- whether it may be written ----

  /**
   * Checked before it is handed to a transport; unless it is allowed it ends as one that was never
   * sent.
   */
  SendVerdict checkSend() {
    refusedByGuard = pending.guard != null && !pending.guard.holds();
    return refusedByGuard ? SendVerdict.SHARED_STATE : policyCheck.apply(attempt);
  }

  /**
   * Checked by the connection right before it writes the attempt; unless it is allowed it ends as
   * one that was never sent.
   */
  public SendVerdict checkWrite() {
    SendVerdict verdict = checkSend();
    if (verdict == SendVerdict.ALLOWED && pending.guard != null && !startNotified) {
      startNotified = true;
      pending.guard.onAttemptStarted();
    }
    return verdict;
  }

  /** Whether a guard decides on its result, so that its write has to be reported. */
  public boolean fenced() {
    return pending.guard != null;
  }

  /** Whether it was handed to a line-protocol connection's channel. */
  boolean handedOver() {
    return writeNumber != UNSENT;
  }

  // ---- results that come as pages ----

  /** Whether a page is one that was requested and has not come. */
  boolean lacks(int number) {
    return pages != null && number >= 1 && number < pages.length && pages[number] == null;
  }

  void addPage(int number, byte[] page) {
    pages[number] = page;
    bytes += page.length;
    missingPages--;
  }

  // ---- results that come as one body ----

  /** Its engine has executed it, and its result begins to come. */
  public void startResult() {
    result = new ByteArrayOutputStream();
  }

  /** Whether its result has begun to come: then it was executed, whatever happens afterwards. */
  public boolean resultStarted() {
    return result != null;
  }

  /** How many bytes of the body have come. */
  public int resultSize() {
    return result.size();
  }

  /** A part of the body has come. */
  public void appendResult(byte[] more) {
    result.writeBytes(more);
    bytes += more.length;
  }

  /** The body has come whole; false if it is no result. */
  public boolean completeResult() {
    byte[] rows = result.toByteArray();
    try {
      ResultEncoder.check(rows);
    } catch (IllegalArgumentException e) {
      return false;
    }
    pages = new byte[][] {rows};
    return true;
  }

  // ---- both ----

  /** Whether the rest of the result may be requested once more on a further connection. */
  boolean mayResume(int limit) {
    return resumptions < limit;
  }

  /** Counts that the rest of the result is requested on a further connection. */
  void countResumption() {
    resumptions++;
  }

  /** Counts that the rest is requested on a further connection; false beyond so many times. */
  public boolean tryResume(int limit) {
    return resumptions++ < limit;
  }

  void releaseResult() {
    pages = null;
    result = null;
  }
}
