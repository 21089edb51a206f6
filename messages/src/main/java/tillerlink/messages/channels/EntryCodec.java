package tillerlink.messages.channels;

import java.util.ArrayList;
import java.util.List;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;

/**
 * Events and steps as bytes. An event carries a sum over its bytes, so that a garbled one is never
 * taken for another.
 */
public final class EntryCodec {
  /** No event is longer; one goes in a message that every link carries. */
  public static final int ENTRY_MOST = 1000;

  public static final int SPANS_MOST = 600;
  public static final int VOTERS_MOST = 64;
  static final int NAME_MOST = 255;
  static final int DOTS_MOST = 64;
  private static final Kind[] KINDS = Kind.values();

  private EntryCodec() {}

  static FieldWriter dot(Dot dot) {
    return new FieldWriter()
        .fixed(1, dot.incarnation())
        .number(2, dot.sequence())
        .fixed(3, dot.stamp());
  }

  static Dot dot(FieldReader in) throws MalformedMessageException {
    long incarnation = 0;
    long sequence = 0;
    long stamp = 0;
    while (in.next()) {
      switch (in.field()) {
        case 1 -> incarnation = in.fixed();
        case 2 -> sequence = in.number();
        case 3 -> stamp = in.fixed();
        default -> {}
      }
    }
    return new Dot(incarnation, sequence, stamp);
  }

  static FieldWriter span(Span span) {
    return new FieldWriter()
        .fixed(1, span.incarnation())
        .number(2, span.from())
        .number(3, span.to() - span.from());
  }

  static Span span(FieldReader in) throws MalformedMessageException {
    long incarnation = 0;
    long from = 0;
    long more = 0;
    while (in.next()) {
      switch (in.field()) {
        case 1 -> incarnation = in.fixed();
        case 2 -> from = in.number(1L << 40);
        case 3 -> more = in.number(1L << 40);
        default -> {}
      }
    }
    if (incarnation <= 0 || from <= 0) {
      throw new MalformedMessageException("a span without a start");
    }
    return new Span(incarnation, from, from + more);
  }

  public static byte[] bytes(Entry entry) {
    FieldWriter out =
        new FieldWriter()
            .text(1, entry.gateway())
            .text(2, entry.site())
            .fixed(3, entry.incarnation())
            .number(4, entry.sequence())
            .fixed(5, entry.stamp())
            .text(6, entry.channel())
            .number(7, entry.kind().ordinal())
            .text(8, entry.cue())
            .text(9, entry.text())
            .number(10, entry.airsAt())
            .text(11, entry.key());
    entry.over().forEach(dot -> out.within(12, dot(dot)));
    entry.seen().forEach(dot -> out.within(13, dot(dot)));
    byte[] body = out.done();
    return new FieldWriter().fixed(1, sum(body)).bytes(2, body).done();
  }

  public static Entry entry(byte[] bytes) throws MalformedMessageException {
    return entry(new FieldReader(bytes));
  }

  static Entry entry(FieldReader in) throws MalformedMessageException {
    long sum = 0;
    byte[] body = new byte[0];
    while (in.next()) {
      switch (in.field()) {
        case 1 -> sum = in.fixed();
        case 2 -> body = in.bytes(4 * ENTRY_MOST);
        default -> {}
      }
    }
    if (sum != sum(body)) {
      throw new MalformedMessageException("an event that was garbled");
    }
    return body(new FieldReader(body));
  }

  private static Entry body(FieldReader in) throws MalformedMessageException {
    String[] texts = {"", "", "", "", "", "", "", "", "", "", "", ""};
    long incarnation = 0;
    long sequence = 0;
    long stamp = 0;
    long airsAt = 0;
    int kind = 0;
    List<Dot> over = new ArrayList<>(2);
    List<Dot> seen = new ArrayList<>(2);
    while (in.next()) {
      switch (in.field()) {
        case 1, 2, 6, 8, 9, 11 -> texts[in.field()] = in.text(2 * ENTRY_MOST);
        case 3 -> incarnation = in.fixed();
        case 4 -> sequence = in.number(1L << 40);
        case 5 -> stamp = in.fixed();
        case 7 -> kind = (int) in.number(KINDS.length - 1);
        case 10 -> airsAt = in.number();
        case 12 -> add(over, dot(in.within()));
        case 13 -> add(seen, dot(in.within()));
        default -> {}
      }
    }
    if (incarnation <= 0
        || sequence <= 0
        || stamp <= 0
        || texts[1].isEmpty()
        || texts[6].isEmpty()) {
      throw new MalformedMessageException("an event without a name");
    }
    return new Entry(
        texts[1].intern(),
        texts[2].intern(),
        incarnation,
        sequence,
        stamp,
        texts[6].intern(),
        KINDS[kind],
        texts[8],
        texts[9],
        airsAt,
        texts[11],
        List.copyOf(over),
        List.copyOf(seen));
  }

  private static void add(List<Dot> dots, Dot dot) throws MalformedMessageException {
    if (dots.size() >= DOTS_MOST) {
      throw new MalformedMessageException("too many events named");
    }
    dots.add(dot);
  }

  public static FieldWriter cut(Cut cut) {
    FieldWriter out = new FieldWriter().number(1, cut.slot()).fixed(2, cut.upTo());
    cut.spans().forEach(span -> out.within(3, span(span)));
    cut.voters().forEach(voter -> out.text(4, voter));
    return out;
  }

  public static Cut cut(FieldReader in) throws MalformedMessageException {
    long slot = 0;
    long upTo = 0;
    List<Span> spans = new ArrayList<>();
    List<String> voters = new ArrayList<>();
    while (in.next()) {
      switch (in.field()) {
        case 1 -> slot = in.number();
        case 2 -> upTo = in.fixed();
        case 3 -> spans.add(span(in.within()));
        case 4 -> voters.add(in.text(NAME_MOST));
        default -> {}
      }
    }
    if (slot <= 0 || spans.size() > SPANS_MOST || voters.isEmpty() || voters.size() > VOTERS_MOST) {
      throw new MalformedMessageException("a step out of its bounds");
    }
    return new Cut(slot, upTo, List.copyOf(spans), List.copyOf(voters));
  }

  /**
   * A 64-bit sum (FNV-1a, stirred) that tells garbled bytes from whole ones; it guards against no
   * enemy.
   */
  public static long sum(byte[] bytes) {
    long hash = 0xcbf29ce484222325L;
    for (byte b : bytes) {
      hash = (hash ^ (b & 0xff)) * 0x100000001b3L;
    }
    return stir(hash);
  }

  public static long stir(long value) {
    long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
    return mixed ^ (mixed >>> 33);
  }
}
