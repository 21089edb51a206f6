package tillerlink.channels;

import java.util.ArrayList;
import java.util.List;
import tillerlink.channels.journal.EventSet;
import tillerlink.channels.journal.Journal;
import tillerlink.messages.channels.ChannelsMessage.Report;
import tillerlink.messages.channels.ChannelsMessage.Standing;
import tillerlink.messages.channels.Cut;
import tillerlink.messages.channels.Span;

/**
 * Detects that another gateway restarted without events of its own that it had reported before: its
 * disk is lost, or an old copy. It only logs that; the events are sent back by anti-entropy.
 */
final class LossDetector {
  private final Journal journal;
  private final RateLimitedLog log;

  LossDetector(Journal journal, RateLimitedLog log) {
    this.journal = journal;
    this.log = log;
  }

  /**
   * Compares the first report of a new process with what its predecessor reported.
   *
   * @param before the writing of the earlier process, as last reported
   */
  void onRestart(long now, String from, Standing before, Report report) {
    if (before.top() == 0 || mayHoldMore(report)) {
      return;
    }
    List<Span> lacking = new ArrayList<>();
    heldBy(before.incarnation(), report)
        .missing(new Span(before.incarnation(), 1, before.top()), lacking);
    long count = lacking.stream().mapToLong(Span::size).sum();
    if (count > 0) {
      log.log(
          now,
          "lost " + from,
          from
              + " came back with a lost or an old disk: it lacks "
              + count
              + " events of its own, which it is given back");
    }
  }

  /** A report with as many spans as it may have can be truncated: it proves no loss. */
  private static boolean mayHoldMore(Report report) {
    int spans = report.extra().size();
    return spans == Reporter.SHORT_REPORT_SPANS || spans >= Reporter.FULL_REPORT_SPANS;
  }

  /** What the reporter holds of an incarnation's events. */
  private EventSet heldBy(long incarnation, Report report) {
    EventSet held = new EventSet();
    report.extra().forEach(held::add);
    if (report.applied() >= journal.base()) {
      journal.stable().spans(incarnation).forEach(held::add);
      long applied = Math.min(report.applied(), journal.applied());
      for (Cut cut : journal.cuts().tailMap(applied, false).values()) {
        List<Span> notApplied = new ArrayList<>(cut.spans());
        notApplied.removeIf(span -> span.incarnation() != incarnation);
        notApplied.forEach(held::remove);
      }
      report.extra().forEach(held::add);
    }
    return held;
  }
}
