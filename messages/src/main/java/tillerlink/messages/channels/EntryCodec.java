package tillerlink.messages.channels;

import java.util.ArrayList;
import java.util.List;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;

/**
 * Writes and reads events and cuts, for messages and for storage. An event carries a checksum of
 * its bytes, so that a corrupted one is never taken for another.
 */
public final class EntryCodec {
  /** Bytes of an event at the most: one fits in a message that every link carries. */
  public static final int MAX_ENTRY_BYTES = 1000;

  /** Spans of a cut at the most. */
  public static final int MAX_SPANS = 600;

  /** Voters of a cut at the most. */
  public static final int MAX_VOTERS = 64;

  static final int MAX_NAME_BYTES = 255;
  static final int MAX_DOTS = 64;

  /** Longer events are malformed; a later release may write longer ones than this one. */
  static final int MAX_READ_BYTES = 4 * MAX_ENTRY_BYTES;

  static final long MAX_SEQUENCE = 1L << 40;
  static final int MAX_TEXT_BYTES = 2 * MAX_ENTRY_BYTES;

  private static final int DOT_INCARNATION = 1;
  private static final int DOT_SEQUENCE = 2;
  private static final int DOT_STAMP = 3;

  private static final int SPAN_INCARNATION = 1;
  private static final int SPAN_FROM = 2;
  private static final int SPAN_FURTHER = 3;

  private static final int CHECKSUM = 1;
  private static final int EVENT = 2;

  private static final int CUT_SLOT = 1;
  private static final int CUT_UP_TO = 2;
  private static final int CUT_SPAN = 3;
  private static final int CUT_VOTER = 4;

  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long MIX_FACTOR = 0xff51afd7ed558ccdL;

  private EntryCodec() {}

  // ---- names of events ----

  /** Writes the name of an event. */
  public static FieldWriter dot(Dot dot) {
    return new FieldWriter()
        .fixed(DOT_INCARNATION, dot.incarnation())
        .number(DOT_SEQUENCE, dot.sequence())
        .fixed(DOT_STAMP, dot.stamp());
  }

  /**
   * Reads the name of an event.
   *
   * @throws MalformedMessageException if it can't be read
   */
  public static Dot dot(FieldReader in) throws MalformedMessageException {
    long incarnation = 0;
    long sequence = 0;
    long stamp = 0;
    while (in.next()) {
      switch (in.field()) {
        case DOT_INCARNATION -> incarnation = in.fixed();
        case DOT_SEQUENCE -> sequence = in.number();
        case DOT_STAMP -> stamp = in.fixed();
        default -> {}
      }
    }
    return new Dot(incarnation, sequence, stamp);
  }

  // ---- spans ----

  static FieldWriter span(Span span) {
    return new FieldWriter()
        .fixed(SPAN_INCARNATION, span.incarnation())
        .number(SPAN_FROM, span.from())
        .number(SPAN_FURTHER, span.to() - span.from());
  }

  static Span span(FieldReader in) throws MalformedMessageException {
    long incarnation = 0;
    long from = 0;
    long further = 0;
    while (in.next()) {
      switch (in.field()) {
        case SPAN_INCARNATION -> incarnation = in.fixed();
        case SPAN_FROM -> from = in.number(MAX_SEQUENCE);
        case SPAN_FURTHER -> further = in.number(MAX_SEQUENCE);
        default -> {}
      }
    }
    if (incarnation <= 0 || from <= 0) {
      throw new MalformedMessageException("a span without a start");
    }
    return new Span(incarnation, from, from + further);
  }

  // ---- events ----

  /** Writes an event with its checksum. */
  public static byte[] bytes(Entry entry) {
    byte[] event = EntryFields.write(entry);
    return new FieldWriter().fixed(CHECKSUM, checksum(event)).bytes(EVENT, event).done();
  }

  /**
   * Reads an event.
   *
   * @throws MalformedMessageException if it can't be read, or its checksum does not match
   */
  public static Entry entry(byte[] bytes) throws MalformedMessageException {
    return entry(new FieldReader(bytes));
  }

  static Entry entry(FieldReader in) throws MalformedMessageException {
    long checksum = 0;
    byte[] event = new byte[0];
    while (in.next()) {
      switch (in.field()) {
        case CHECKSUM -> checksum = in.fixed();
        case EVENT -> event = in.bytes(MAX_READ_BYTES);
        default -> {}
      }
    }
    if (checksum != checksum(event)) {
      throw new MalformedMessageException("an event that was garbled");
    }
    return new EntryFields().read(new FieldReader(event));
  }

  // ---- cuts ----

  /** Writes a cut. */
  public static FieldWriter cut(Cut cut) {
    FieldWriter out = new FieldWriter().number(CUT_SLOT, cut.slot()).fixed(CUT_UP_TO, cut.upTo());
    cut.spans().forEach(span -> out.within(CUT_SPAN, span(span)));
    cut.voters().forEach(voter -> out.text(CUT_VOTER, voter));
    return out;
  }

  /**
   * Reads a cut.
   *
   * @throws MalformedMessageException if it can't be read, or has too many spans or voters
   */
  public static Cut cut(FieldReader in) throws MalformedMessageException {
    long slot = 0;
    long upTo = 0;
    List<Span> spans = new ArrayList<>();
    List<String> voters = new ArrayList<>();
    while (in.next()) {
      switch (in.field()) {
        case CUT_SLOT -> slot = in.number();
        case CUT_UP_TO -> upTo = in.fixed();
        case CUT_SPAN -> spans.add(span(in.within()));
        case CUT_VOTER -> voters.add(in.text(MAX_NAME_BYTES));
        default -> {}
      }
    }
    if (slot <= 0 || spans.size() > MAX_SPANS || voters.isEmpty() || voters.size() > MAX_VOTERS) {
      throw new MalformedMessageException("a step out of its bounds");
    }
    return new Cut(slot, upTo, List.copyOf(spans), List.copyOf(voters));
  }

  // ---- checksums ----

  /**
   * Returns a 64-bit checksum (FNV-1a, mixed) that detects corrupted bytes. It does not withstand
   * deliberate changes.
   */
  public static long checksum(byte[] bytes) {
    long hash = FNV_OFFSET_BASIS;
    for (byte each : bytes) {
      hash = (hash ^ (each & 0xff)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /** Mixes the bits of a hash, so that each bit of the value affects the whole result. */
  public static long mix(long value) {
    long mixed = (value ^ (value >>> 33)) * MIX_FACTOR;
    return mixed ^ (mixed >>> 33);
  }
}
