package tillerlink.net.state;

import java.io.ByteArrayOutputStream;
import java.util.function.Function;
import tillerlink.model.Attempt;
import tillerlink.net.wire.ResultEncoder;
import tillerlink.plain.Units;
import tillerlink.policy.SendVerdict;

/**
 * An attempt on its way: the connection that bears it, and the pages of its result that have come.
 */
public final class InFlightAttempt {
  /** While its connection is not up. */
  static final long UNSENT = Long.MAX_VALUE;

  public final Attempt attempt;
  final PendingResponse pending;
  EngineConnection link;

  /**
   * Its place among the writes of its connection; none of it has been written before that one is.
   */
  long place = UNSENT;

  byte[][] pages;
  int missing;

  /** Bytes of the pages that have come. */
  int bytes;

  /** Its guard was told that it is out. */
  boolean began;

  /** It was not written, for its guard did not hold. */
  boolean refused;

  /** Its guard held after all of it was written. */
  boolean sound;

  /** Its guard did not: nothing that comes of it is handed out. */
  boolean stale;

  /** How often its pages were asked for on a further connection. */
  int mended;

  private ByteArrayOutputStream answer;

  private final Function<Attempt, SendVerdict> guard;

  /**
   * @param guard whether an attempt may still begin
   */
  InFlightAttempt(Attempt attempt, PendingResponse pending, Function<Attempt, SendVerdict> guard) {
    this.attempt = attempt;
    this.pending = pending;
    this.guard = guard;
  }

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

  public String requestClass() {
    return pending.submission.requestClass();
  }

  /** The mark against repeats, or null. */
  public String key() {
    return pending.submission.key();
  }

  public byte[] statement() {
    return pending.submission.statement();
  }

  /** Asked before it is handed to a transport; if not, it ends as one that was never sent. */
  SendVerdict mayBePlaced() {
    refused = pending.guard != null && !pending.guard.holds();
    return refused ? SendVerdict.SHARED_STATE : guard.apply(attempt);
  }

  /** Asked by whoever writes it, right before; if not, it ends as one that was never sent. */
  public SendVerdict mayGo() {
    SendVerdict verdict = mayBePlaced();
    if (verdict == SendVerdict.ALLOWED && pending.guard != null && !began) {
      began = true;
      pending.guard.onAttemptStarted();
    }
    return verdict;
  }

  /** Whether {@link EngineTransport.Owner#attemptWritten} is waited for. */
  public boolean guarded() {
    return pending.guard != null;
  }

  /** How long the client still waits, in milliseconds; 1 at least. */
  public long millisLeft(long now) {
    return Math.max(1, (pending.request.clientDeadline - now) / Units.TENTHS_PER_MS);
  }

  // ---- results that come as one body and not in pages ----

  /** The engine has succeeded it and its result has begun to come. */
  public void answerBegins() {
    answer = new ByteArrayOutputStream();
  }

  /** Whether it has begun: then it has run, whatever becomes of what is asked for since. */
  public boolean begun() {
    return answer != null;
  }

  /** How many bytes of it have come. */
  public int answerSize() {
    return answer.size();
  }

  public void answerGrows(byte[] more) {
    answer.writeBytes(more);
    bytes += more.length;
  }

  void forgetAnswer() {
    pages = null;
    answer = null;
  }

  /** Counts that the rest is asked for on a further connection; false beyond so many times. */
  public boolean mendAgain(int most) {
    return mended++ < most;
  }

  /** It has come whole; false if it is no result. */
  public boolean completeAnswer() {
    byte[] rows = answer.toByteArray();
    try {
      ResultEncoder.check(rows);
    } catch (IllegalArgumentException e) {
      return false;
    }
    pages = new byte[][] {rows};
    return true;
  }

  /** Whether a page is one that was asked for and has not come. */
  boolean lacks(int number) {
    return pages != null && number >= 1 && number < pages.length && pages[number] == null;
  }

  void take(int number, byte[] page) {
    pages[number] = page;
    bytes += page.length;
    missing--;
  }
}
