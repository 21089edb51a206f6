package tillerlink.messages.envelope;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Takes datagrams, and gives the messages that have come whole. What is refused is counted, and a
 * line for the log is given at most so often. All it holds is bounded. Used by one thread; times
 * are tenths of a millisecond.
 */
public final class Inbox {
  /** A message that came whole. */
  public record Message(String sender, int part, byte[] body) {}

  /** Takes a line for the log. */
  @FunctionalInterface
  public interface Lines {
    void line(String words);
  }

  private record Life(String sender, long life) {}

  private record Whole(Life life, long first) {}

  /**
   * Processes whose datagrams are told from repeats; the one that was silent longest is forgotten
   * first.
   */
  static final int LIVES_MOST = 2048;

  static final int GATHERINGS_MOST = 128;
  static final int GATHERINGS_EACH = 16;

  /** A message whose pieces take longer is lost. */
  static final long GATHER_MOST = 50_000;

  private static final long LINE_EVERY = 100_000;

  private final EnvelopeCodec codec;
  private final Life own;
  private final int messageMost;
  private final Lines lines;
  private final Map<Life, Window> windows = new LinkedHashMap<>(64, 0.75f, true);
  private final Map<Whole, Gathering> gatherings = new LinkedHashMap<>();
  private final Map<Refusal, Long> refused = new EnumMap<>(Refusal.class);
  private final Map<Refusal, Long> lineAt = new EnumMap<>(Refusal.class);

  /**
   * @param messageMost bytes of a message at the most; a longer one is passed over
   * @param lines is told one line for each kind of refusal at most every ten seconds
   */
  public Inbox(EnvelopeCodec codec, String name, long life, int messageMost, Lines lines) {
    this.codec = codec;
    own = new Life(name, life);
    this.messageMost = messageMost;
    this.lines = lines;
  }

  /**
   * A datagram came.
   *
   * @param from where from, in words for the log
   * @return null if no message is whole by it
   */
  public Message take(long now, String from, byte[] datagram) {
    try {
      Envelope envelope = codec.decode(datagram);
      Life life = new Life(envelope.sender(), envelope.life());
      if (life.equals(own)) {
        throw new RefusedException(Refusal.OWN);
      }
      if (!window(life).isNew(envelope.counter())) {
        throw new RefusedException(Refusal.REPEATED);
      }
      return envelope.pieces() == 1
          ? new Message(envelope.sender(), envelope.part(), envelope.body())
          : gather(now, new Whole(life, envelope.first()), envelope);
    } catch (RefusedException e) {
      refuse(now, from, e.why());
      return null;
    }
  }

  private Window window(Life life) {
    Window window = windows.get(life);
    if (window == null) {
      if (windows.size() >= LIVES_MOST) {
        windows.remove(windows.keySet().iterator().next());
      }
      window = new Window();
      windows.put(life, window);
    }
    return window;
  }

  private Message gather(long now, Whole whole, Envelope envelope) throws RefusedException {
    forgetOld(now);
    Gathering gathering = gatherings.get(whole);
    if (gathering == null) {
      makeRoom(now, whole.life);
      gathering = new Gathering(envelope, now);
      gatherings.put(whole, gathering);
    }
    if (!gathering.fits(envelope)) {
      throw new RefusedException(Refusal.MISFIT);
    }
    gathering.take(envelope);
    if (gathering.bytes() > messageMost) {
      gatherings.remove(whole);
      throw new RefusedException(Refusal.OVERSIZED);
    }
    if (!gathering.isWhole()) {
      return null;
    }
    gatherings.remove(whole);
    return new Message(envelope.sender(), envelope.part(), gathering.whole());
  }

  /** One sender can't crowd out the others. */
  private void makeRoom(long now, Life life) {
    long ofThis = gatherings.keySet().stream().filter(other -> other.life.equals(life)).count();
    if (ofThis >= GATHERINGS_EACH || gatherings.size() >= GATHERINGS_MOST) {
      Iterator<Whole> oldest = gatherings.keySet().iterator();
      Whole goes = oldest.next();
      while (ofThis >= GATHERINGS_EACH && !goes.life.equals(life)) {
        goes = oldest.next();
      }
      gatherings.remove(goes);
      refuse(now, goes.life.sender, Refusal.INCOMPLETE);
    }
  }

  private void forgetOld(long now) {
    Iterator<Map.Entry<Whole, Gathering>> i = gatherings.entrySet().iterator();
    while (i.hasNext()) {
      Map.Entry<Whole, Gathering> oldest = i.next();
      if (oldest.getValue().since + GATHER_MOST > now) {
        return;
      }
      i.remove();
      refuse(now, oldest.getKey().life.sender, Refusal.INCOMPLETE);
    }
  }

  /** Counts one that is passed over, also by whoever took the message. */
  public void refuse(long now, String from, Refusal why) {
    long count = refused.merge(why, 1L, Long::sum);
    if (now >= lineAt.getOrDefault(why, Long.MIN_VALUE)) {
      lineAt.put(why, now + LINE_EVERY);
      lines.line("a datagram from " + from + " " + why.words() + "; " + count + " so far");
    }
  }

  /** How many were passed over, for each reason that there was. */
  public Map<Refusal, Long> refused() {
    return Collections.unmodifiableMap(refused);
  }

  /** Messages that wait for pieces. */
  int gathering() {
    return gatherings.size();
  }

  int lives() {
    return windows.size();
  }
}
