package tillerlink.messages.channels;

import java.util.ArrayList;
import java.util.List;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;

/**
 * Encodes and decodes events and cuts for messages and for storage. An event carries a checksum of
 * its bytes, so that a corrupted event is never mistaken for another.
 */
public final class EntryCodec {
  /**
   * The maximum size of an event in bytes, so that it fits in a message that every link carries.
   */
  public static final int MAX_ENTRY_BYTES = 1000;

  /** The maximum number of spans in a cut. */
  public static final int MAX_SPANS = 600;

  /** The maximum number of voters in a cut. */
  public static final int MAX_VOTERS = 64;

  static final int MAX_NAME_BYTES = 255;
  static final int MAX_DOTS = 64;

  /**
   * The maximum event size accepted, in bytes; a later release may write longer events than this.
   */
  static final int MAX_READ_BYTES = 4 * MAX_ENTRY_BYTES;

  static final long MAX_SEQUENCE = 1L << 40;
  static final int MAX_TEXT_BYTES = 2 * MAX_ENTRY_BYTES;

  private static final int DOT_INCARNATION = 1;
  private static final int DOT_SEQUENCE = 2;
  private static final int DOT_STAMP = 3;

  private static final int SPAN_INCARNATION = 1;
  private static final int SPAN_FROM = 2;
  private static final int SPAN_LAST_OFFSET = 3;

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

  // ---- event identifiers ----

  /** Encodes the identifier of an event. */
  public static FieldWriter dot(Dot dot) {
    return new FieldWriter()
        .fixed(DOT_INCARNATION, dot.incarnation())
        .number(DOT_SEQUENCE, dot.sequence())
        .fixed(DOT_STAMP, dot.stamp());
  }

  /**
   * Decodes the identifier of an event.
   *
   * @throws MalformedMessageException if a field is malformed
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
        .number(SPAN_LAST_OFFSET, span.to() - span.from());
  }

  static Span span(FieldReader in) throws MalformedMessageException {
    long incarnation = 0;
    long from = 0;
    long lastOffset = 0;
    while (in.next()) {
      switch (in.field()) {
        case SPAN_INCARNATION -> incarnation = in.fixed();
        case SPAN_FROM -> from = in.number(MAX_SEQUENCE);
        case SPAN_LAST_OFFSET -> lastOffset = in.number(MAX_SEQUENCE);
        default -> {}
      }
    }
    if (incarnation <= 0 || from <= 0) {
      throw new MalformedMessageException(
          "span has incarnation "
              + incarnation
              + " and first sequence number "
              + from
              + ", expected both above 0");
    }
    return new Span(incarnation, from, from + lastOffset);
  }

  // ---- events ----

  /** Encodes an event with its checksum. */
  public static byte[] bytes(Entry entry) {
    byte[] event = EntryFields.write(entry);
    return new FieldWriter().fixed(CHECKSUM, checksum(event)).bytes(EVENT, event).done();
  }

  /**
   * Decodes an event.
   *
   * @throws MalformedMessageException if a field is malformed or the checksum does not match
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
      throw new MalformedMessageException(
          "event has checksum "
              + Long.toHexString(checksum)
              + ", expected "
              + Long.toHexString(checksum(event)));
    }
    return new EntryFields().read(new FieldReader(event));
  }

  // ---- cuts ----

  /** Encodes a cut. */
  public static FieldWriter cut(Cut cut) {
    FieldWriter out = new FieldWriter().number(CUT_SLOT, cut.slot()).fixed(CUT_UP_TO, cut.upTo());
    cut.spans().forEach(span -> out.within(CUT_SPAN, span(span)));
    cut.voters().forEach(voter -> out.text(CUT_VOTER, voter));
    return out;
  }

  /**
   * Decodes a cut.
   *
   * @throws MalformedMessageException if a field is malformed, the slot or the voters are missing,
   *     or there are more than {@link #MAX_SPANS} spans or {@link #MAX_VOTERS} voters
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
      throw new MalformedMessageException(
          "cut has slot "
              + slot
              + ", "
              + spans.size()
              + " spans and "
              + voters.size()
              + " voters, expected a slot above 0, at most "
              + MAX_SPANS
              + " spans and 1 to "
              + MAX_VOTERS
              + " voters");
    }
    return new Cut(slot, upTo, List.copyOf(spans), List.copyOf(voters));
  }

  // ---- checksums ----

  /**
   * Returns a 64-bit checksum that detects corrupted bytes: FNV-1a with a final mixing step. It
   * does not protect against deliberate changes.
   */
  public static long checksum(byte[] bytes) {
    long hash = FNV_OFFSET_BASIS;
    for (byte octet : bytes) {
      hash = (hash ^ (octet & 0xff)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /** Mixes the bits of a hash, so that each input bit affects the whole result. */
  public static long mix(long value) {
    long mixed = (value ^ (value >>> 33)) * MIX_FACTOR;
    return mixed ^ (mixed >>> 33);
  }
}
