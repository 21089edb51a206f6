package tillerlink.channels.sync;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tillerlink.channels.journal.EventSet;
import tillerlink.channels.journal.Journal;
import tillerlink.messages.channels.ChannelsMessage.CutsWanted;
import tillerlink.messages.channels.ChannelsMessage.Piece;
import tillerlink.messages.channels.ChannelsMessage.Report;
import tillerlink.messages.channels.ChannelsMessage.SumPart;
import tillerlink.messages.channels.ChannelsMessage.Want;
import tillerlink.messages.channels.Cut;
import tillerlink.messages.channels.Span;

/**
 * The requesting side of anti-entropy: fetches what is missing here. It requests a bounded amount
 * of each gateway that has it, and each event of one gateway at a time. What does not arrive is
 * requested again, of any. New events are sent by their writers at once and wait for none of this.
 * Times are tenths of a millisecond.
 */
public final class Fetcher {
  /** After this without progress a request has timed out. */
  static final long TIMEOUT = 6000;

  /** Between two requests for cuts to one gateway. */
  private static final long CUTS_INTERVAL = 2000;

  /** A gateway whose latest report is older is not asked. */
  private static final long MAX_REPORT_AGE = 60_000;

  /** Spans of a request at the most, and the bytes that each of them takes in it. */
  private static final int MAX_SPANS = 40;

  private static final int SPAN_BYTES = 25;

  /** Decided cuts that are searched for missing events at the most. */
  private static final int MAX_CUTS_SEARCHED = 500;

  private static final int MAX_GATEWAYS = 1024;

  private final Journal journal;
  private final ChannelTransport transport;
  private final StateTransfer stateTransfer;
  private final TreeMap<String, SyncSource> sources = new TreeMap<>();
  private long lastNumber;
  private long timeouts;

  /** Fetches what is missing in a journal. */
  public Fetcher(Journal journal, ChannelTransport transport) {
    this.journal = journal;
    this.transport = transport;
    stateTransfer = new StateTransfer(transport);
  }

  // ---- reports ----

  /** Takes the report of a gateway. */
  public void onReport(long now, String from, Report report) {
    if (sources.size() < MAX_GATEWAYS || sources.containsKey(from)) {
      sources.computeIfAbsent(from, any -> new SyncSource()).onReport(now, report);
    }
  }

  /** Returns the latest report of a gateway; null if there is none. */
  public Report report(String from) {
    SyncSource source = sources.get(from);
    return source == null ? null : source.report();
  }

  /** Returns when that arrived. */
  public long reportAt(String from) {
    SyncSource source = sources.get(from);
    return source == null ? Long.MIN_VALUE / 2 : source.reportAt();
  }

  // ---- events ----

  /**
   * Takes note of a piece. A gateway that sent nothing of use, as what it holds is refused here for
   * now or is compacted there, is not asked again at once.
   *
   * @param taken how many of its events were new
   */
  public void onPiece(long now, String from, Piece piece, int taken) {
    SyncSource source = sources.get(from);
    if (source == null || !source.awaits(piece.number())) {
      return;
    }
    source.onPiece(now, taken, piece.last());
    if (source.hasLastPiece() && allHeld(source.requested())) {
      source.complete(now);
    }
  }

  private boolean allHeld(List<Span> spans) {
    for (Span span : spans) {
      if (!journal.held().hasAll(span)) {
        return false;
      }
    }
    return true;
  }

  /** Requests what is missing and not requested. */
  public void tick(long now) {
    for (SyncSource source : sources.values()) {
      if (source.isComplete(now)) {
        source.complete(now);
      } else if (source.isTimedOut(now)) {
        timeouts++;
        source.timeOut();
      }
    }
    for (Map.Entry<String, SyncSource> each : sources.entrySet()) {
      if (now - each.getValue().reportAt() <= MAX_REPORT_AGE
          && transport.membership().reachability(each.getKey()).isContactable()) {
        request(now, each.getKey(), each.getValue());
      }
    }
  }

  private void request(long now, String from, SyncSource source) {
    Report report = source.report();
    boolean compactedThere = journal.decided() < report.base();
    if (compactedThere || isStuck(report)) {
      stateTransfer.request(now, from, report);
    } else if (report.decided() > journal.decided()
        && source.beginCutsRequest(now, CUTS_INTERVAL)) {
      transport.send(from, new CutsWanted(journal.decided() + 1));
    }
    if (source.mayRequest(now)) {
      requestEvents(now, from, source);
    }
  }

  /** Whether the next cut is known, but its events are compacted over there. */
  private boolean isStuck(Report report) {
    return report.base() > journal.applied() && journal.decided() > journal.applied();
  }

  private void requestEvents(long now, String from, SyncSource source) {
    List<Span> wanted = notRequested(missing(source.report()), source.window());
    if (!wanted.isEmpty()) {
      int maxSpans = Math.min(wanted.size(), source.pieceBytes() / SPAN_BYTES);
      List<Span> spans = wanted.subList(0, maxSpans);
      lastNumber++;
      source.beginRequest(now, lastNumber, spans);
      transport.send(from, new Want(lastNumber, source.pieceBytes(), source.window(), spans));
    }
  }

  /** What a gateway holds, by its report, and this one does not: decided events first. */
  private List<Span> missing(Report report) {
    List<Span> missing = new ArrayList<>();
    int searched = 0;
    for (Cut cut : journal.cuts().tailMap(journal.applied(), false).values()) {
      searched++;
      if (cut.slot() > report.applied()
          || searched > MAX_CUTS_SEARCHED
          || missing.size() > MAX_SPANS) {
        break;
      }
      cut.spans().forEach(span -> journal.held().missing(span, missing));
    }
    report.extra().forEach(span -> journal.held().missing(span, missing));
    return missing;
  }

  /** What of the missing events is not requested of any gateway, at most {@code maxEvents}. */
  private List<Span> notRequested(List<Span> missing, long maxEvents) {
    EventSet requested = new EventSet();
    for (SyncSource source : sources.values()) {
      source.requested().forEach(requested::add);
    }
    List<Span> wanted = new ArrayList<>();
    long left = maxEvents;
    for (Span span : missing) {
      List<Span> free = new ArrayList<>();
      requested.missing(span, free);
      for (Span part : free) {
        if (left > 0 && wanted.size() < MAX_SPANS) {
          long to = Math.min(part.to(), part.from() + left - 1);
          Span taken = new Span(part.incarnation(), part.from(), to);
          wanted.add(taken);
          requested.add(taken);
          left -= taken.size();
        }
      }
    }
    return wanted;
  }

  // ---- compacted state ----

  /**
   * Takes a part of the compacted state.
   *
   * @return the whole state once the last part is there, otherwise null
   */
  public byte[] onStatePart(long now, String from, SumPart part) {
    return stateTransfer.onPart(now, from, part);
  }

  /** Returns when the next tick is due. */
  public long dueAt() {
    long due = Long.MAX_VALUE;
    for (SyncSource source : sources.values()) {
      due = Math.min(due, source.dueAt());
    }
    return due;
  }

  /** Returns how many requests for events timed out. */
  public long timeouts() {
    return timeouts;
  }
}
