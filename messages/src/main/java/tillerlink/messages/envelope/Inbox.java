package tillerlink.messages.envelope;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Takes datagrams and returns the messages that are complete. Refused datagrams are counted and
 * logged at a limited rate. All that it holds is bounded. Used by one thread; times are tenths of a
 * millisecond.
 */
public final class Inbox {
  /**
   * A complete message.
   *
   * @param sender the name of its sender
   * @param part the component that it is for
   * @param body its bytes
   */
  public record Message(String sender, int part, byte[] body) {}

  /** Takes a line for the log. */
  @FunctionalInterface
  public interface Lines {
    /** Logs one line. */
    void line(String words);
  }

  private record SenderProcess(String sender, long incarnation) {}

  private record MessageId(SenderProcess process, long first) {}

  /**
   * Processes whose datagrams are checked for repeats; the one that was silent longest is dropped
   * first.
   */
  static final int MAX_PROCESSES = 2048;

  /** Incomplete messages of all senders at the most. */
  static final int MAX_INCOMPLETE = 128;

  /** Incomplete messages of one process at the most. */
  static final int MAX_INCOMPLETE_PER_PROCESS = 16;

  /** A message whose fragments take longer is dropped; tenths of a millisecond. */
  static final long REASSEMBLY_TIMEOUT = 50_000;

  /** Tenths of a millisecond between two log lines of one kind. */
  private static final long LOG_INTERVAL = 100_000;

  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final EnvelopeCodec codec;
  private final SenderProcess own;
  private final int maxMessageBytes;
  private final Lines lines;
  private final Map<SenderProcess, ReplayWindow> windows =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
  private final Map<MessageId, FragmentBuffer> incomplete = new LinkedHashMap<>();
  private final Map<Refusal, Long> refused = new EnumMap<>(Refusal.class);
  private final Map<Refusal, Long> nextLineAt = new EnumMap<>(Refusal.class);

  /**
   * Makes the inbox of a process.
   *
   * @param name the gateway's name
   * @param incarnation the number that the process has drawn
   * @param maxMessageBytes bytes of a message at the most; a longer one is refused
   * @param lines takes one line for each kind of refusal at most every ten seconds
   */
  public Inbox(
      EnvelopeCodec codec, String name, long incarnation, int maxMessageBytes, Lines lines) {
    this.codec = codec;
    own = new SenderProcess(name, incarnation);
    this.maxMessageBytes = maxMessageBytes;
    this.lines = lines;
  }

  /**
   * Takes a datagram.
   *
   * @param now tenths of a millisecond
   * @param from where it came from, in words for the log
   * @return the message that it completes, null if it completes none
   */
  public Message take(long now, String from, byte[] datagram) {
    try {
      Envelope envelope = codec.decode(datagram);
      SenderProcess process = new SenderProcess(envelope.sender(), envelope.incarnation());
      if (process.equals(own)) {
        throw new RefusedException(Refusal.OWN);
      }
      if (!window(process).isNew(envelope.counter())) {
        throw new RefusedException(Refusal.REPEATED);
      }
      return envelope.pieces() == 1
          ? new Message(envelope.sender(), envelope.part(), envelope.body())
          : reassemble(now, new MessageId(process, envelope.first()), envelope);
    } catch (RefusedException e) {
      refuse(now, from, e.why());
      return null;
    }
  }

  private ReplayWindow window(SenderProcess process) {
    ReplayWindow window = windows.get(process);
    if (window == null) {
      if (windows.size() >= MAX_PROCESSES) {
        windows.remove(windows.keySet().iterator().next());
      }
      window = new ReplayWindow();
      windows.put(process, window);
    }
    return window;
  }

  private Message reassemble(long now, MessageId id, Envelope fragment) throws RefusedException {
    dropTimedOut(now);
    FragmentBuffer buffer = incomplete.get(id);
    if (buffer == null) {
      makeRoom(now, id.process);
      buffer = new FragmentBuffer(fragment, now);
      incomplete.put(id, buffer);
    }
    if (!buffer.accepts(fragment)) {
      throw new RefusedException(Refusal.MISFIT);
    }
    buffer.add(fragment);
    if (buffer.bytes() > maxMessageBytes) {
      incomplete.remove(id);
      throw new RefusedException(Refusal.OVERSIZED);
    }
    if (!buffer.isComplete()) {
      return null;
    }
    incomplete.remove(id);
    return new Message(fragment.sender(), fragment.part(), buffer.message());
  }

  /** Drops an incomplete message if there are too many; no sender can crowd out the others. */
  private void makeRoom(long now, SenderProcess process) {
    long ofProcess = incomplete.keySet().stream().filter(id -> id.process.equals(process)).count();
    if (ofProcess >= MAX_INCOMPLETE_PER_PROCESS || incomplete.size() >= MAX_INCOMPLETE) {
      Iterator<MessageId> oldestFirst = incomplete.keySet().iterator();
      MessageId dropped = oldestFirst.next();
      while (ofProcess >= MAX_INCOMPLETE_PER_PROCESS && !dropped.process.equals(process)) {
        dropped = oldestFirst.next();
      }
      incomplete.remove(dropped);
      refuse(now, dropped.process.sender, Refusal.INCOMPLETE);
    }
  }

  private void dropTimedOut(long now) {
    Iterator<Map.Entry<MessageId, FragmentBuffer>> oldestFirst = incomplete.entrySet().iterator();
    while (oldestFirst.hasNext()) {
      Map.Entry<MessageId, FragmentBuffer> oldest = oldestFirst.next();
      if (oldest.getValue().startedAt() + REASSEMBLY_TIMEOUT > now) {
        return;
      }
      oldestFirst.remove();
      refuse(now, oldest.getKey().process.sender, Refusal.INCOMPLETE);
    }
  }

  /**
   * Counts and logs a refused datagram; also called by whoever can't use a complete message.
   *
   * @param now tenths of a millisecond
   * @param from where it came from, in words for the log
   */
  public void refuse(long now, String from, Refusal why) {
    long count = refused.merge(why, 1L, Long::sum);
    if (now >= nextLineAt.getOrDefault(why, Long.MIN_VALUE)) {
      nextLineAt.put(why, now + LOG_INTERVAL);
      lines.line("a datagram from " + from + " " + why.words() + "; " + count + " so far");
    }
  }

  /** Returns how many datagrams were refused, for each reason that occurred; a live view. */
  public Map<Refusal, Long> refused() {
    return Collections.unmodifiableMap(refused);
  }

  /** Returns the number of messages that wait for fragments. */
  int incomplete() {
    return incomplete.size();
  }

  /** Returns the number of processes whose datagrams are checked for repeats. */
  int processes() {
    return windows.size();
  }
}
