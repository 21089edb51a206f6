package tillerlink.net.state;

import java.util.Arrays;
import java.util.function.Function;
import tillerlink.model.Attempt;
import tillerlink.net.wire.ResultEncoder;
import tillerlink.plain.Units;
import tillerlink.port.SendVerdict;

/**
 * An attempt in flight, with the connection that carries it and the part of its result that was
 * received. Confined to the event-loop thread; times are tenths of a millisecond unless a name says
 * otherwise.
 */
public final class InFlightAttempt {
  /** The limit on the length of a result, in bytes. */
  public static final int MAX_RESULT_BYTES = 48_000;

  private static final byte[] NO_BYTES = new byte[0];

  /** The value of {@link #writeNumber} while the attempt has not been passed to a channel. */
  static final long UNSENT = Long.MAX_VALUE;

  public final Attempt attempt;
  final PendingResponse pending;

  /** The line-protocol connection that carries it, or null. */
  EngineConnection connection;

  /**
   * The number of its write on the connection, as {@link AttemptWrites} counts them; all its bytes
   * are written once the write with that number is complete.
   */
  long writeNumber = UNSENT;

  /**
   * The pages of its result, with null for each missing page; null before the first page was
   * received.
   */
  byte[][] pages;

  /** The number of pages that were requested and not received. */
  int missingPages;

  /** The number of bytes of its result that were received. */
  int resultBytes;

  /** The bytes of memory that are reserved for it beside those of its request. */
  long reservedBytes;

  /**
   * Until when it waits for input of its client to be read, in tenths of a millisecond; 0 if it
   * does not have to wait.
   */
  long inputAwaitedUntil;

  /** Whether the guard of the request was notified that the attempt may be written. */
  boolean startNotified;

  /** Whether it was not written because the guard of the request did not allow it. */
  boolean refusedByGuard;

  /** Whether the guard of the request still allowed it after all its bytes were written. */
  boolean confirmedByGuard;

  /**
   * Whether the guard of the request no longer allowed it after the write, so that its result must
   * not be sent to the client.
   */
  boolean resultDiscarded;

  /** The number of times that the rest of its result was requested on another connection. */
  private int resumptions;

  /**
   * A buffer with the first {@link #resultBytes} bytes of a result that is received as one body;
   * null before it has started.
   */
  private byte[] body;

  private final Function<Attempt, SendVerdict> policyCheck;

  /**
   * Creates the state of an attempt that is about to be sent.
   *
   * @param attempt the attempt as the dispatch policy knows it
   * @param pending the request that waits for its response
   * @param policyCheck returns whether the dispatch policy still allows the attempt to be written
   */
  InFlightAttempt(
      Attempt attempt, PendingResponse pending, Function<Attempt, SendVerdict> policyCheck) {
    this.attempt = attempt;
    this.pending = pending;
    this.policyCheck = policyCheck;
  }

  /** Returns the id by which the client correlates its request. */
  public String id() {
    return pending.id();
  }

  /** Returns the id of its engine, for the log. */
  String engineId() {
    return engineAddress().id;
  }

  /** Returns the transport to its engine. */
  EngineTransport transport() {
    return engineAddress().transport;
  }

  private EngineAddress engineAddress() {
    return (EngineAddress) attempt.engine.tag;
  }

  /** Returns the name of its request class. */
  public String requestClass() {
    return pending.submitted.requestClass();
  }

  /** Returns the idempotency key of the request, or null if it has none. */
  public String key() {
    return pending.submitted.key();
  }

  /** Returns the statement to execute. */
  public byte[] statement() {
    return pending.submitted.statement();
  }

  /**
   * Returns how long the client still waits, in milliseconds; at least 1.
   *
   * @param now the current time, in tenths of a millisecond
   */
  public long millisLeft(long now) {
    return Math.max(1, (pending.request.clientDeadline - now) / Units.TENTHS_PER_MS);
  }

  // ---- checks before the write ----

  /**
   * Returns the verdict on passing the attempt to a transport. Unless it is {@link
   * SendVerdict#ALLOWED}, the attempt ends as not sent.
   */
  SendVerdict checkSend() {
    refusedByGuard = pending.guard != null && !pending.guard.holds();
    if (refusedByGuard) {
      return SendVerdict.SHARED_STATE;
    }
    SendVerdict verdict = policyCheck.apply(attempt);
    return verdict == SendVerdict.ALLOWED && pending.mayHaveUnreadInput()
        ? SendVerdict.CLIENT_INPUT_UNREAD
        : verdict;
  }

  /**
   * Returns the verdict on writing the attempt, and notifies the guard of the request when the
   * attempt is allowed for the first time. The connection calls this immediately before the write.
   * Unless the verdict is {@link SendVerdict#ALLOWED}, the attempt ends as not sent.
   */
  public SendVerdict checkWrite() {
    SendVerdict verdict = checkSend();
    if (verdict == SendVerdict.ALLOWED && pending.guard != null && !startNotified) {
      startNotified = true;
      pending.guard.onAttemptStarted();
    }
    return verdict;
  }

  /**
   * Returns whether the request has a guard, which decides if the result is used, so that the write
   * of the attempt must be reported.
   */
  public boolean hasGuard() {
    return pending.guard != null;
  }

  /** Returns whether the attempt was passed to the channel of a line-protocol connection. */
  boolean passedToChannel() {
    return writeNumber != UNSENT;
  }

  // ---- results received as pages ----

  /** Returns whether a page was requested and has not been received. */
  boolean isPageMissing(int number) {
    return pages != null && number >= 1 && number < pages.length && pages[number] == null;
  }

  /** Stores a page that was missing. */
  void addPage(int number, byte[] page) {
    pages[number] = page;
    resultBytes += page.length;
    missingPages--;
  }

  // ---- results received as one body ----

  /** Records that the engine has executed the attempt and that its result follows. */
  public void startResult() {
    body = NO_BYTES;
  }

  /**
   * Returns whether its result has started. The attempt was then executed, whatever happens to the
   * rest of the result.
   */
  public boolean resultStarted() {
    return body != null;
  }

  /** Returns the number of bytes of the body that were received. */
  public int resultSize() {
    return resultBytes;
  }

  /** Returns whether a part of the result may follow without exceeding its greatest length. */
  public boolean hasRoomFor(int byteCount) {
    return resultBytes + byteCount <= MAX_RESULT_BYTES;
  }

  /** Appends a part of the body, for which there must be room. */
  public void appendResult(byte[] part) {
    int size = resultBytes + part.length;
    if (size > body.length) {
      body = Arrays.copyOf(body, Math.max(size, Math.min(MAX_RESULT_BYTES, 2 * body.length)));
    }
    System.arraycopy(part, 0, body, resultBytes, part.length);
    resultBytes = size;
  }

  /**
   * Stores the body, which is complete, as the only page of the result.
   *
   * @return false if the body is not a valid result
   */
  public boolean completeResult() {
    byte[] rows = Arrays.copyOf(body, resultBytes);
    try {
      ResultEncoder.check(rows);
    } catch (IllegalArgumentException e) {
      return false;
    }
    pages = new byte[][] {rows};
    return true;
  }

  // ---- results received in either way ----

  /**
   * Returns whether the rest of the result may be requested once more on another connection.
   *
   * @param limit how often that is allowed for one attempt
   */
  boolean mayResume(int limit) {
    return resumptions < limit;
  }

  /** Counts a request for the rest of the result on another connection. */
  void countResumption() {
    resumptions++;
  }

  /**
   * Counts a request for the rest of the result on another connection.
   *
   * @param limit how often that is allowed for one attempt
   * @return whether it was still allowed
   */
  public boolean countAndCheckResumption(int limit) {
    return resumptions++ < limit;
  }

  /** Releases the memory of the result. */
  void releaseResult() {
    pages = null;
    body = null;
  }
}
