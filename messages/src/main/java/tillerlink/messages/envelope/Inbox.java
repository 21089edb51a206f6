package tillerlink.messages.envelope;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Receives datagrams and reassembles the messages they carry. Refused datagrams are counted and
 * logged at a limited rate. Its memory is bounded. Instances are not thread-safe; times are in
 * tenths of a millisecond.
 */
public final class Inbox {
  /**
   * A complete message.
   *
   * @param sender the name of the sending gateway
   * @param part the number of the component that the message is addressed to, 1 to 255
   * @param body the bytes of the message
   */
  public record Message(String sender, int part, byte[] body) {}

  /** A sink for log lines. */
  @FunctionalInterface
  public interface Lines {
    /** Logs one line. */
    void line(String text);
  }

  private record SenderProcess(String sender, long incarnation) {}

  private record MessageId(SenderProcess process, long firstCounter) {}

  /**
   * The maximum number of processes whose datagrams are checked for duplicates; the one without
   * datagrams for the longest time is dropped first.
   */
  static final int MAX_PROCESSES = 2048;

  /** The maximum number of incomplete messages of all senders. */
  static final int MAX_INCOMPLETE = 128;

  /** The maximum number of incomplete messages of one process. */
  static final int MAX_INCOMPLETE_PER_PROCESS = 16;

  /** The time after which an incomplete message is dropped, in tenths of a millisecond. */
  static final long REASSEMBLY_TIMEOUT = 50_000;

  /** The minimum time between two log lines for one reason, in tenths of a millisecond. */
  private static final long LOG_INTERVAL = 100_000;

  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final EnvelopeCodec codec;
  private final SenderProcess ownProcess;
  private final int maxMessageBytes;
  private final Lines lines;
  private final Map<SenderProcess, ReplayWindow> windows =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
  private final Map<MessageId, FragmentBuffer> incomplete = new LinkedHashMap<>();
  private final Map<Refusal, Long> refused = new EnumMap<>(Refusal.class);
  private final Map<Refusal, Long> nextLogLineAt = new EnumMap<>(Refusal.class);

  /**
   * Creates the inbox of a process.
   *
   * @param codec the codec of the gateway's fleet
   * @param name the gateway's name
   * @param incarnation the number that this process drew at its start
   * @param maxMessageBytes the maximum size of a reassembled message, in bytes; a longer one is
   *     refused
   * @param lines receives at most one line every ten seconds for each reason of refusal
   */
  public Inbox(
      EnvelopeCodec codec, String name, long incarnation, int maxMessageBytes, Lines lines) {
    this.codec = codec;
    ownProcess = new SenderProcess(name, incarnation);
    this.maxMessageBytes = maxMessageBytes;
    this.lines = lines;
  }

  /**
   * Processes a received datagram.
   *
   * @param now the current time, in tenths of a millisecond
   * @param from the source of the datagram, for the log
   * @param datagram the bytes of the datagram
   * @return the message that the datagram completes, null if it completes none
   */
  public Message take(long now, String from, byte[] datagram) {
    try {
      Envelope envelope = codec.decode(datagram);
      SenderProcess process = new SenderProcess(envelope.sender(), envelope.incarnation());
      if (process.equals(ownProcess)) {
        throw new RefusedException(Refusal.OWN);
      }
      if (!window(process).markReceived(envelope.counter())) {
        throw new RefusedException(Refusal.REPEATED);
      }
      return envelope.fragmentCount() == 1
          ? new Message(envelope.sender(), envelope.component(), envelope.body())
          : reassemble(now, new MessageId(process, envelope.firstCounter()), envelope);
    } catch (RefusedException e) {
      refuse(now, from, e.reason());
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
      evictIfFull(now, id.process);
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
    return new Message(fragment.sender(), fragment.component(), buffer.message());
  }

  /**
   * Drops the oldest incomplete message if there are too many: one of the same process if that
   * process is at its own limit, so that a sender cannot crowd out the others.
   */
  private void evictIfFull(long now, SenderProcess process) {
    long processMessages =
        incomplete.keySet().stream().filter(id -> id.process.equals(process)).count();
    if (processMessages >= MAX_INCOMPLETE_PER_PROCESS || incomplete.size() >= MAX_INCOMPLETE) {
      Iterator<MessageId> oldestFirst = incomplete.keySet().iterator();
      MessageId dropped = oldestFirst.next();
      while (processMessages >= MAX_INCOMPLETE_PER_PROCESS && !dropped.process.equals(process)) {
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
   * Counts and logs a refused datagram; also called by the owner of the inbox for a complete
   * message that it cannot deliver.
   *
   * @param now the current time, in tenths of a millisecond
   * @param from the source of the datagram, for the log
   * @param reason the reason of the refusal
   */
  public void refuse(long now, String from, Refusal reason) {
    long count = refused.merge(reason, 1L, Long::sum);
    if (now >= nextLogLineAt.getOrDefault(reason, Long.MIN_VALUE)) {
      nextLogLineAt.put(reason, now + LOG_INTERVAL);
      lines.line(
          "datagram from "
              + from
              + " refused: it "
              + reason.description()
              + "; "
              + count
              + " so far");
    }
  }

  /** Returns an unmodifiable live view of the number of refused datagrams for each reason. */
  public Map<Refusal, Long> refused() {
    return Collections.unmodifiableMap(refused);
  }

  /** Returns the number of incomplete messages. */
  int incomplete() {
    return incomplete.size();
  }

  /** Returns the number of processes whose datagrams are checked for duplicates. */
  int processes() {
    return windows.size();
  }
}
