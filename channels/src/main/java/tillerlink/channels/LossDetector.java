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
 * The detector of other gateways' data loss: a gateway restarts without some of its own events that
 * it had reported before, because its disk was lost or replaced by an old copy. The loss is only
 * logged; anti-entropy sends the events back.
 */
final class LossDetector {
  private final Journal journal;
  private final RateLimitedLog log;

  LossDetector(Journal journal, RateLimitedLog log) {
    this.journal = journal;
    this.log = log;
  }

  /**
   * Compares the first report of a gateway's new process with the last one of its previous process,
   * and logs how many events are missing.
   *
   * @param now the time in tenths of a millisecond
   * @param from the gateway that restarted
   * @param previous the standing that the previous process last reported
   * @param report the first report of the new process
   */
  void onRestart(long now, String from, Standing previous, Report report) {
    if (previous.top() == 0 || mayBeTruncated(report)) {
      return;
    }
    List<Span> missing = new ArrayList<>();
    heldBy(previous.incarnation(), report)
        .missing(new Span(previous.incarnation(), 1, previous.top()), missing);
    long missingCount = missing.stream().mapToLong(Span::size).sum();
    if (missingCount > 0) {
      log.log(
          now,
          "lost " + from,
          from
              + " came back with a lost or an old disk: it lacks "
              + missingCount
              + " events of its own, which it is given back");
    }
  }

  /**
   * Returns whether a report has as many spans as it may have. It may then be truncated, so that a
   * missing span does not prove a loss.
   */
  private static boolean mayBeTruncated(Report report) {
    int spans = report.extra().size();
    return spans == Reporter.SHORT_REPORT_SPANS || spans >= Reporter.FULL_REPORT_SPANS;
  }

  /** Returns the events of an incarnation that, by its report, the reporting gateway holds. */
  private EventSet heldBy(long incarnation, Report report) {
    EventSet held = new EventSet();
    report.extra().forEach(held::add);
    if (report.applied() >= journal.base()) {
      journal.stable().spans(incarnation).forEach(held::add);
      long applied = Math.min(report.applied(), journal.applied());
      for (Cut cut : journal.cuts().tailMap(applied, false).values()) {
        List<Span> unapplied = new ArrayList<>(cut.spans());
        unapplied.removeIf(span -> span.incarnation() != incarnation);
        unapplied.forEach(held::remove);
      }
      report.extra().forEach(held::add);
    }
    return held;
  }
}
