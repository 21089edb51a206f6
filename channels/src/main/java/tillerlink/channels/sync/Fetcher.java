package tillerlink.channels.sync;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tillerlink.channels.journal.EventSet;
import tillerlink.channels.journal.Journal;
import tillerlink.cluster.MessageSender;
import tillerlink.messages.channels.ChannelsMessage.CutsWanted;
import tillerlink.messages.channels.ChannelsMessage.Piece;
import tillerlink.messages.channels.ChannelsMessage.Report;
import tillerlink.messages.channels.ChannelsMessage.SumPart;
import tillerlink.messages.channels.ChannelsMessage.SumWanted;
import tillerlink.messages.channels.ChannelsMessage.Want;
import tillerlink.messages.channels.Cut;
import tillerlink.messages.channels.Span;

/**
 * Gets what is missing here: asks each gateway that has it for a bounded amount, and for each event
 * only one at a time. What does not come is asked for again, of anyone. Fresh events are sent by
 * their writers at once and wait for none of this.
 */
public final class Fetcher {
  private static final long PATIENCE = 6000;
  private static final long NEVER = Long.MAX_VALUE;
  private static final int PIECE_LEAST = 180;
  private static final int GOOD_TO_GROW = 16;
  private static final long OVERTAKEN = 20;
  private static final long REST = 10_000;
  private static final long STEPS_AGAIN = 2000;
  private static final long HEARD_FOR = 60_000;
  private static final int SPANS_MOST = 40;
  private static final int SPAN_BYTES = 25;
  private static final int CUTS_LOOKED_AT = 500;
  private static final int WINDOW_LEAST = 8;
  private static final int WINDOW_MOST = 2048;
  private static final int GATEWAYS_MOST = 1024;
  private static final int SUM_MOST = 256 << 20;

  /** One other gateway. */
  private static final class Source {
    Report report;
    long reportAt;
    long number;
    long askedAt;
    List<Span> asked = List.of();
    int window = 64;
    int pieceBytes = MessageSender.SINGLE_DATAGRAM_BYTES;
    long stepsAskedAt = Long.MIN_VALUE / 2;
    boolean heardSince;
    int taken;
    int goodInARow;
    long sentAt;
    long lateUntil = NEVER;
    long restUntil = Long.MIN_VALUE;
  }

  private final Journal journal;
  private final ChannelTransport wire;
  private final TreeMap<String, Source> sources = new TreeMap<>();
  private String sumFrom = "";
  private long sumSlot;
  private byte[] sum;
  private int sumGot;
  private long sumAskedAt;
  private long numbers;
  private long again;

  public Fetcher(Journal journal, ChannelTransport wire) {
    this.journal = journal;
    this.wire = wire;
  }

  public void reported(long now, String from, Report report) {
    if (sources.size() < GATEWAYS_MOST || sources.containsKey(from)) {
      Source source = sources.computeIfAbsent(from, any -> new Source());
      source.report = report;
      source.reportAt = now;
    }
  }

  /** What a gateway said last; null if nothing. */
  public Report report(String from) {
    Source source = sources.get(from);
    return source == null ? null : source.report;
  }

  /** When it said that. */
  public long reportAt(String from) {
    Source source = sources.get(from);
    return source == null ? Long.MIN_VALUE / 2 : source.reportAt;
  }

  /**
   * A piece came. Who had nothing of use, since what it holds is refused here for now or is gone
   * there, is not asked again at once.
   *
   * @param taken how many of its events were taken
   */
  public void got(long now, String from, Piece piece, int taken) {
    Source source = sources.get(from);
    if (source == null || piece.number() == 0 || piece.number() != source.number) {
      return;
    }
    source.askedAt = now;
    source.heardSince = true;
    source.taken += taken;
    if (piece.last()) {
      // Earlier pieces may still be on their way, overtaken by this one: as long as this one took,
      // they may take.
      source.lateUntil = now + Math.max(OVERTAKEN, now - source.sentAt);
    }
    if (source.lateUntil != NEVER && allHeld(source)) {
      done(now, source);
    }
  }

  private boolean allHeld(Source source) {
    for (Span span : source.asked) {
      if (!journal.held().hasAll(span)) {
        return false;
      }
    }
    return true;
  }

  private void done(long now, Source source) {
    source.restUntil = source.taken == 0 ? now + REST : now;
    source.number = 0;
    source.asked = List.of();
    source.lateUntil = NEVER;
    source.window = Math.min(WINDOW_MOST, source.window * 2);
    if (source.taken > 0 && ++source.goodInARow >= GOOD_TO_GROW) {
      source.goodInARow = 0;
      source.pieceBytes = Math.min(MessageSender.SINGLE_DATAGRAM_BYTES, source.pieceBytes * 2);
    }
  }

  /** Asks for what is missing and not asked for. */
  public void turn(long now) {
    for (Map.Entry<String, Source> each : sources.entrySet()) {
      Source source = each.getValue();
      if (source.number != 0 && source.lateUntil != NEVER && now >= source.lateUntil) {
        done(now, source);
      } else if (source.number != 0 && now - source.askedAt > PATIENCE) {
        again++;
        source.goodInARow = 0;
        source.lateUntil = NEVER;
        source.number = 0;
        source.asked = List.of();
        source.window = Math.max(WINDOW_LEAST, source.window / (source.heardSince ? 2 : 4));
        if (!source.heardSince) {
          // The link may carry small messages only.
          source.pieceBytes = Math.max(PIECE_LEAST, source.pieceBytes / 2);
        }
      }
    }
    for (Map.Entry<String, Source> each : sources.entrySet()) {
      if (now - each.getValue().reportAt <= HEARD_FOR
          && wire.membership().reachability(each.getKey()).isContactable()) {
        ask(now, each.getKey(), each.getValue());
      }
    }
  }

  private void ask(long now, String of, Source source) {
    Report report = source.report;
    boolean compactedThere = journal.decided() < report.base();
    if (compactedThere || isStuck(report)) {
      askSum(now, of, report);
    } else if (report.decided() > journal.decided() && now - source.stepsAskedAt > STEPS_AGAIN) {
      source.stepsAskedAt = now;
      wire.send(of, new CutsWanted(journal.decided() + 1));
    }
    if (source.number == 0 && now >= source.restUntil) {
      List<Span> wanted = wanted(source);
      if (!wanted.isEmpty()) {
        source.number = ++numbers;
        source.askedAt = now;
        source.sentAt = now;
        wanted = wanted.subList(0, Math.min(wanted.size(), source.pieceBytes / SPAN_BYTES));
        source.asked = wanted;
        source.heardSince = false;
        source.taken = 0;
        wire.send(of, new Want(source.number, source.pieceBytes, source.window, wanted));
      }
    }
  }

  /** The next step is known, but what is in it was compacted over there. */
  private boolean isStuck(Report report) {
    return report.base() > journal.applied() && journal.decided() > journal.applied();
  }

  private List<Span> wanted(Source source) {
    EventSet taken = new EventSet();
    for (Source other : sources.values()) {
      other.asked.forEach(taken::add);
    }
    List<Span> missing = new ArrayList<>();
    int looked = 0;
    for (Cut cut : journal.cuts().tailMap(journal.applied(), false).values()) {
      if (cut.slot() > source.report.applied()
          || ++looked > CUTS_LOOKED_AT
          || missing.size() > SPANS_MOST) {
        break;
      }
      cut.spans().forEach(span -> journal.held().missing(span, missing));
    }
    source.report.extra().forEach(span -> journal.held().missing(span, missing));
    List<Span> wanted = new ArrayList<>();
    long room = source.window;
    for (Span span : missing) {
      List<Span> free = new ArrayList<>();
      taken.missing(span, free);
      for (Span part : free) {
        if (room > 0 && wanted.size() < SPANS_MOST) {
          Span some =
              new Span(
                  part.incarnation(), part.from(), Math.min(part.to(), part.from() + room - 1));
          wanted.add(some);
          taken.add(some);
          room -= some.size();
        }
      }
    }
    return wanted;
  }

  // ---- the sum of what was compacted ----

  private void askSum(long now, String of, Report report) {
    boolean isStale = now - sumAskedAt > PATIENCE;
    if (sum == null
        ? isStale
        : isStale && (sumFrom.equals(of) || now - sumAskedAt > 5 * PATIENCE)) {
      if (!sumFrom.equals(of) || sumSlot != report.base()) {
        sum = null;
        sumGot = 0;
      }
      sumFrom = of;
      sumSlot = report.base();
      sumAskedAt = now;
      wire.send(of, new SumWanted(sumSlot, sumGot));
    }
  }

  /**
   * @return the whole sum once the last part is there, otherwise null
   */
  public byte[] got(long now, String from, SumPart part) {
    if (!from.equals(sumFrom) || part.size() > SUM_MOST || part.size() <= 0) {
      return null;
    }
    if (part.slot() != sumSlot || sum == null || sum.length != part.size()) {
      if (part.offset() != 0) {
        return null;
      }
      sumSlot = part.slot();
      sum = new byte[part.size()];
      sumGot = 0;
    }
    if (part.offset() != sumGot || part.offset() + part.bytes().length > sum.length) {
      return null;
    }
    System.arraycopy(part.bytes(), 0, sum, sumGot, part.bytes().length);
    sumGot += part.bytes().length;
    sumAskedAt = now;
    if (sumGot < sum.length) {
      wire.send(from, new SumWanted(sumSlot, sumGot));
      return null;
    }
    byte[] whole = sum;
    sum = null;
    sumGot = 0;
    return whole;
  }

  public long dueAt() {
    long due = Long.MAX_VALUE;
    for (Source source : sources.values()) {
      if (source.number != 0) {
        due = Math.min(due, Math.min(source.askedAt + PATIENCE + 1, source.lateUntil));
      }
    }
    return due;
  }

  /** How often something had to be asked for again. */
  public long again() {
    return again;
  }
}
