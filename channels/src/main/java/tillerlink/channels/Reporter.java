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
 * Reports periodically to other gateways what this one holds: the digest that anti-entropy works
 * with. Times are tenths of a millisecond.
 */
final class Reporter {
  /** Spans beyond the applied slot in a full report at the most. */
  static final int FULL_REPORT_SPANS = 32;

  /** The same of a short report. */
  static final int SHORT_REPORT_SPANS = 3;

  /** Between two reports while something is provisional. */
  private static final long BUSY_INTERVAL = 2500;

  /** Between two reports otherwise. */
  private static final long IDLE_INTERVAL = 10_000;

  /** Standings of other gateways in a full report at the most. */
  private static final int MAX_OTHERS = 8;

  private static final long LONG_AGO = Long.MIN_VALUE / 2;

  private final String self;
  private final long incarnation;
  private final Journal journal;
  private final HybridLogicalClock clock;
  private final Writer writer;
  private final Standings standings;
  private final ChannelTransport transport;
  private final RandomGenerator random;
  private long reportedAt = LONG_AGO;
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

  /** How far this gateway's own writing is. */
  Standing standing(long now, long wall) {
    long floor = clock.floor(now, wall);
    return new Standing(self, incarnation, writer.floor(floor), writer.top());
  }

  /** When the next report is due. */
  long dueAt() {
    boolean busy = !journal.tail().isEmpty() || journal.applied() < journal.decided();
    return reportedAt + (busy ? BUSY_INTERVAL : IDLE_INTERVAL);
  }

  /** Makes the next report due at once. */
  void makeDue() {
    reportedAt = LONG_AGO;
  }

  /** Sends a report; every other one is short, for links that carry small messages only. */
  void report(long now, long wall) {
    reportedAt = now;
    isShort = !isShort;
    Report report =
        new Report(
            wall / Channels.UNITS_PER_MILLI,
            standing(now, wall),
            journal.applied(),
            journal.decided(),
            journal.base(),
            journal.digest(),
            extra(isShort ? SHORT_REPORT_SPANS : FULL_REPORT_SPANS),
            isShort ? List.of() : standings.latest(MAX_OTHERS));
    transport.spread(report, journal.voters());
  }

  /** Some of the spans beyond the applied slot, other ones each time. */
  private List<Span> extra(int max) {
    List<Span> extra = new ArrayList<>(journal.provisional().spans());
    if (extra.size() <= max) {
      return extra;
    }
    Collections.rotate(extra, random.nextInt(extra.size()));
    return extra.subList(0, max);
  }
}
