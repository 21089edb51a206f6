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
 * The requesting side of anti-entropy, which fetches the events, cuts and compacted state that are
 * missing here. It requests a bounded number of events at a time from each gateway that holds them,
 * and each event from only one gateway at a time. Events that do not arrive are requested again
 * from any gateway. New events do not depend on this, because their writers send them immediately.
 * Times are tenths of a millisecond.
 */
public final class Fetcher {
  /** The time without progress after which a request has timed out. */
  static final long TIMEOUT = 6000;

  /** The least time between two requests for cuts to the same gateway. */
  private static final long CUTS_INTERVAL = 2000;

  /** The age of a gateway's latest report beyond which nothing is requested from the gateway. */
  private static final long MAX_REPORT_AGE = 60_000;

  /** The maximum number of spans in a request. */
  private static final int MAX_SPANS = 40;

  /** The size of a span in a request, in bytes. */
  private static final int SPAN_BYTES = 25;

  /** The maximum number of decided cuts that are searched for missing events. */
  private static final int MAX_CUTS_SEARCHED = 500;

  private static final int MAX_GATEWAYS = 1024;

  private final Journal journal;
  private final ChannelTransport transport;
  private final StateTransfer stateTransfer;
  private final TreeMap<String, SyncSource> sources = new TreeMap<>();
  private long lastRequestNumber;
  private long timeouts;

  /** Creates a fetcher of the events, cuts and compacted state that are missing in a journal. */
  public Fetcher(Journal journal, ChannelTransport transport) {
    this.journal = journal;
    this.transport = transport;
    stateTransfer = new StateTransfer(transport);
  }

  // ---- reports ----

  /** Records the report of a gateway, which replaces an earlier one. */
  public void onReport(long now, String from, Report report) {
    if (sources.size() < MAX_GATEWAYS || sources.containsKey(from)) {
      sources.computeIfAbsent(from, ignored -> new SyncSource()).onReport(now, report);
    }
  }

  /** Returns the latest report of a gateway; null if it has sent none. */
  public Report report(String from) {
    SyncSource source = sources.get(from);
    return source == null ? null : source.report();
  }

  /**
   * Returns when the latest report of a gateway arrived, in tenths of a millisecond; a time in the
   * distant past if it has sent none.
   */
  public long reportAt(String from) {
    SyncSource source = sources.get(from);
    return source == null ? Long.MIN_VALUE / 2 : source.reportAt();
  }

  // ---- events ----

  /**
   * Records a piece of a response. A gateway whose response had no new event, because its events
   * are refused here for now or are compacted there, is not asked again immediately.
   *
   * @param now the time in tenths of a millisecond
   * @param from the gateway that sent the piece
   * @param piece the piece, whose events have been added to the journal
   * @param newEvents the number of events of the piece that were new
   */
  public void onPiece(long now, String from, Piece piece, int newEvents) {
    SyncSource source = sources.get(from);
    if (source == null || !source.awaits(piece.number())) {
      return;
    }
    source.onPiece(now, newEvents, piece.last());
    if (source.hasLastPiece() && areAllHeld(source.requested())) {
      source.complete(now);
    }
  }

  /** Returns whether all events of some spans are held here. */
  private boolean areAllHeld(List<Span> spans) {
    for (Span span : spans) {
      if (!journal.held().hasAll(span)) {
        return false;
      }
    }
    return true;
  }

  /** Ends requests that are complete or timed out, and requests what is missing. */
  public void tick(long now) {
    for (SyncSource source : sources.values()) {
      if (source.isComplete(now)) {
        source.complete(now);
      } else if (source.isTimedOut(now)) {
        timeouts++;
        source.timeOut();
      }
    }
    for (Map.Entry<String, SyncSource> entry : sources.entrySet()) {
      if (now - entry.getValue().reportAt() <= MAX_REPORT_AGE
          && transport.membership().reachability(entry.getKey()).isContactable()) {
        request(now, entry.getKey(), entry.getValue());
      }
    }
  }

  /** Requests from a gateway the compacted state, cuts and events that are missing here. */
  private void request(long now, String from, SyncSource source) {
    Report report = source.report();
    boolean isCompactedThere = journal.decided() < report.base();
    if (isCompactedThere || isStuck(report)) {
      stateTransfer.request(now, from, report);
    } else if (report.decided() > journal.decided()
        && source.beginCutsRequest(now, CUTS_INTERVAL)) {
      transport.send(from, new CutsWanted(journal.decided() + 1));
    }
    if (source.mayRequest(now)) {
      requestEvents(now, from, source);
    }
  }

  /**
   * Returns whether the next cut to apply is known, but its events can no longer be fetched from a
   * gateway because they are compacted there.
   */
  private boolean isStuck(Report report) {
    return report.base() > journal.applied() && journal.decided() > journal.applied();
  }

  /** Requests missing events from a gateway, as many as its window allows. */
  private void requestEvents(long now, String from, SyncSource source) {
    List<Span> toRequest = notRequested(missing(source.report()), source.window());
    if (!toRequest.isEmpty()) {
      int maxSpans = Math.min(toRequest.size(), source.pieceBytes() / SPAN_BYTES);
      List<Span> spans = toRequest.subList(0, maxSpans);
      lastRequestNumber++;
      source.beginRequest(now, lastRequestNumber, spans);
      transport.send(
          from, new Want(lastRequestNumber, source.pieceBytes(), source.window(), spans));
    }
  }

  /**
   * Returns the spans that a gateway holds, by its report, and that are missing here. Spans of
   * decided cuts come first.
   */
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

  /**
   * Returns the parts of the missing spans that are not requested from any gateway, with {@code
   * maxEvents} events in total at most.
   */
  private List<Span> notRequested(List<Span> missing, long maxEvents) {
    EventSet requested = new EventSet();
    for (SyncSource source : sources.values()) {
      source.requested().forEach(requested::add);
    }
    List<Span> toRequest = new ArrayList<>();
    long remaining = maxEvents;
    for (Span span : missing) {
      List<Span> unrequested = new ArrayList<>();
      requested.missing(span, unrequested);
      for (Span part : unrequested) {
        if (remaining > 0 && toRequest.size() < MAX_SPANS) {
          long to = Math.min(part.to(), part.from() + remaining - 1);
          Span selected = new Span(part.incarnation(), part.from(), to);
          toRequest.add(selected);
          requested.add(selected);
          remaining -= selected.size();
        }
      }
    }
    return toRequest;
  }

  // ---- compacted state ----

  /**
   * Handles a part of the compacted state.
   *
   * @return the whole encoded state once the last part has arrived, otherwise null
   */
  public byte[] onStatePart(long now, String from, SumPart part) {
    return stateTransfer.onPart(now, from, part);
  }

  /**
   * Returns the time at which the next tick is due; {@link Long#MAX_VALUE} if no request is in
   * flight.
   */
  public long dueAt() {
    long due = Long.MAX_VALUE;
    for (SyncSource source : sources.values()) {
      due = Math.min(due, source.dueAt());
    }
    return due;
  }

  /** Returns the number of requests for events that timed out. */
  public long timeouts() {
    return timeouts;
  }
}
