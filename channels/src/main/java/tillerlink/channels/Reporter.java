package tillerlink.channels;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;
import tillerlink.channels.entry.HybridLogicalClock;
import tillerlink.channels.epoch.Standings;
import tillerlink.channels.journal.Journal;
import tillerlink.channels.sync.ChannelTransport;
import tillerlink.messages.channels.ChannelsMessage.Report;
import tillerlink.messages.channels.ChannelsMessage.Standing;
import tillerlink.messages.channels.Span;

/**
 * The sender of periodic reports to other gateways about the events and cuts that this gateway
 * holds. Anti-entropy compares them to find what is missing. Times are tenths of a millisecond.
 */
final class Reporter {
  /** The maximum number of spans of provisional events in a full report. */
  static final int FULL_REPORT_SPANS = 32;

  /** The maximum number of spans of provisional events in a short report. */
  static final int SHORT_REPORT_SPANS = 3;

  /** The time between two reports while there are provisional events or cuts not applied yet. */
  private static final long BUSY_REPORT_INTERVAL = 2500;

  /** The time between two reports while all events are stable and all cuts applied. */
  private static final long IDLE_REPORT_INTERVAL = 10_000;

  /** The maximum number of other gateways' standings in a full report. */
  private static final int MAX_OTHER_STANDINGS = 8;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final String self;
  private final long incarnation;
  private final Journal journal;
  private final HybridLogicalClock clock;
  private final Writer writer;
  private final Standings standings;
  private final ChannelTransport transport;
  private final RandomGenerator random;
  private long reportedAt = NEVER;
  private boolean isShort = true;

  Reporter(
      long incarnation,
      Journal journal,
      HybridLogicalClock clock,
      Writer writer,
      Standings standings,
      ChannelTransport transport,
      RandomGenerator random) {
    self = transport.membership().self();
    this.incarnation = incarnation;
    this.journal = journal;
    this.clock = clock;
    this.writer = writer;
    this.standings = standings;
    this.transport = transport;
    this.random = random;
  }

  /**
   * Returns this gateway's own standing: the stamp up to which it appends nothing any more, and the
   * number of its last durable event.
   */
  Standing standing(long now, long wall) {
    long floor = clock.floor(now, wall);
    return new Standing(self, incarnation, writer.floor(floor), writer.top());
  }

  /** Returns the time at which the next report is due. */
  long dueAt() {
    boolean isBusy = !journal.tail().isEmpty() || journal.applied() < journal.decided();
    return reportedAt + (isBusy ? BUSY_REPORT_INTERVAL : IDLE_REPORT_INTERVAL);
  }

  /** Makes the next report due immediately. */
  void makeDue() {
    reportedAt = NEVER;
  }

  /** Sends a report. Every other one is short, because some links carry only small messages. */
  void report(long now, long wall) {
    reportedAt = now;
    isShort = !isShort;
    Report report =
        new Report(
            wall / Channels.TENTHS_PER_MILLI,
            standing(now, wall),
            journal.applied(),
            journal.decided(),
            journal.base(),
            journal.digest(),
            selectProvisional(isShort ? SHORT_REPORT_SPANS : FULL_REPORT_SPANS),
            isShort ? List.of() : standings.latest(MAX_OTHER_STANDINGS));
    transport.spread(report, journal.voters());
  }

  /**
   * Returns up to {@code max} spans of provisional events. If there are more, they start at a
   * random one, so that successive reports show different ones.
   */
  private List<Span> selectProvisional(int max) {
    List<Span> spans = new ArrayList<>(journal.provisional().spans());
    if (spans.size() <= max) {
      return spans;
    }
    Collections.rotate(spans, random.nextInt(spans.size()));
    return spans.subList(0, max);
  }
}
