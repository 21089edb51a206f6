package tillerlink.messages.members;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;

/** Members' messages as bytes. Field numbers are never used again for something else. */
public final class MemberCodec {
  public static final int MAX_NAME_BYTES = 64;
  public static final int MAX_ADDRESS_BYTES = 100;
  public static final int MAX_SITE_BYTES = 64;
  public static final int MAX_UPDATES = 64;
  public static final int BUCKETS = 32;

  /** No age is told as more than that: 30 days. */
  public static final long AGE_MOST = 30L * 24 * 3600 * 10_000;

  private static final int KIND = 1;
  private static final int CARD = 2;
  private static final int NUMBER = 3;
  private static final int TARGET = 4;
  private static final int DOUBT = 5;
  private static final int UPDATE = 6;
  private static final int ADDRESS = 7;
  private static final int REACHED = 8;
  private static final int SUMS = 9;
  private static final int BUCKET = 10;
  private static final int AFTER = 11;
  private static final int UP_TO = 12;
  private static final int REPLY = 13;

  /** Numbers of fields, lengths and the birth of a gossip update. */
  private static final int UPDATE_FRAME = 30;

  private static final int PROBE = 1;
  private static final int ACK = 2;
  private static final int ASK = 3;
  private static final int VOUCH = 4;
  private static final int GOSSIP = 5;
  private static final int DIGEST = 6;
  private static final int LISTING = 7;

  private MemberCodec() {}

  /** Which bucket of a digest a name falls into; the same in every release. */
  public static int bucket(String name) {
    return name.hashCode() * 0x9e3779b9 >>> 27;
  }

  public static byte[] write(MemberMessage message) {
    FieldWriter out = new FieldWriter();
    if (message instanceof MemberMessage.Probe probe) {
      out.number(KIND, PROBE).fixed(NUMBER, probe.number()).text(TARGET, probe.target());
      suspicion(out, probe.suspicion());
    } else if (message instanceof MemberMessage.Ack ack) {
      out.number(KIND, ACK).fixed(NUMBER, ack.number());
      suspicion(out, ack.suspicion());
    } else if (message instanceof MemberMessage.Ask ask) {
      out.number(KIND, ASK)
          .fixed(NUMBER, ask.number())
          .text(TARGET, ask.target())
          .text(ADDRESS, ask.address());
      suspicion(out, ask.suspicion());
    } else if (message instanceof MemberMessage.Vouch vouch) {
      out.number(KIND, VOUCH).fixed(NUMBER, vouch.number()).flag(REACHED, vouch.reached());
    } else if (message instanceof MemberMessage.Gossip gossip) {
      out.number(KIND, GOSSIP);
      suspicion(out, gossip.suspicion());
    } else if (message instanceof MemberMessage.Digest digest) {
      out.number(KIND, DIGEST).fixed(NUMBER, digest.salt());
      out.bytes(SUMS, sums(digest.sums()));
    } else if (message instanceof MemberMessage.Listing listing) {
      out.number(KIND, LISTING)
          .number(BUCKET, listing.bucket())
          .text(AFTER, listing.after())
          .text(UP_TO, listing.upTo())
          .flag(REPLY, listing.reply());
    }
    out.within(CARD, card(message.card()));
    message.updates().forEach(update -> out.within(UPDATE, update(update)));
    return out.done();
  }

  /** How many bytes a gossip update adds to a message at the most. */
  public static int size(GossipUpdate update) {
    MemberInfo card = update.card();
    return UPDATE_FRAME
        + varint(card.incarnation())
        + varint(update.age())
        + utf8(update.name())
        + utf8(card.address())
        + utf8(card.site())
        + utf8(update.accuser());
  }

  private static int varint(long value) {
    return (70 - Long.numberOfLeadingZeros(value | 1)) / 7;
  }

  private static int utf8(String text) {
    int bytes = text.length();
    for (int i = 0; i < text.length(); i++) {
      char at = text.charAt(i);
      bytes += at < 0x80 ? 0 : at < 0x800 ? 1 : 2;
    }
    return bytes;
  }

  private static FieldWriter card(MemberInfo card) {
    return new FieldWriter()
        .number(1, card.incarnation())
        .fixed(2, card.birth())
        .text(3, card.address())
        .text(4, card.site());
  }

  private static FieldWriter update(GossipUpdate update) {
    return new FieldWriter()
        .text(1, update.name())
        .number(2, update.status().ordinal())
        .within(3, card(update.card()))
        .text(4, update.accuser())
        .number(5, update.age());
  }

  private static void suspicion(FieldWriter out, SuspicionLevel suspicion) {
    if (suspicion.isPresent()) {
      out.within(
          DOUBT,
          new FieldWriter()
              .number(1, suspicion.status().ordinal())
              .number(2, suspicion.incarnation())
              .fixed(3, suspicion.birth()));
    }
  }

  /** What was read of any message, whatever its kind. */
  private static final class Parts {
    long kind;
    MemberInfo card = MemberInfo.NONE;
    long number;
    String target = "";
    String address = "";
    SuspicionLevel suspicion = SuspicionLevel.NONE;
    boolean reached;
    long bucket;
    String after = "";
    String upTo = "";
    boolean reply;
    final List<GossipUpdate> updates = new ArrayList<>();
    final List<Integer> sums = new ArrayList<>();
  }

  /**
   * @throws MalformedMessageException if it can't be used; a kind of a later release is that too
   */
  public static MemberMessage read(byte[] body) throws MalformedMessageException {
    Parts parts = new Parts();
    FieldReader in = new FieldReader(body);
    while (in.next()) {
      take(in, parts);
    }
    if (parts.card.incarnation() == 0 || parts.card.address().isEmpty()) {
      throw new MalformedMessageException("no card");
    }
    return message(parts);
  }

  private static void take(FieldReader in, Parts parts) throws MalformedMessageException {
    switch (in.field()) {
      case KIND -> parts.kind = in.number();
      case CARD -> parts.card = card(in.within());
      case NUMBER -> parts.number = in.fixed();
      case TARGET -> parts.target = in.text(MAX_NAME_BYTES);
      case DOUBT -> parts.suspicion = suspicion(in.within());
      case ADDRESS -> parts.address = in.text(MAX_ADDRESS_BYTES);
      case REACHED -> parts.reached = in.flag();
      case BUCKET -> parts.bucket = in.number(BUCKETS - 1);
      case AFTER -> parts.after = in.text(MAX_NAME_BYTES);
      case UP_TO -> parts.upTo = in.text(MAX_NAME_BYTES);
      case REPLY -> parts.reply = in.flag();
      case UPDATE -> {
        bound(parts.updates, MAX_UPDATES);
        parts.updates.add(update(in.within()));
      }
      case SUMS -> sums(in.bytes(BUCKETS * Integer.BYTES), parts.sums);
      default -> {
        // of a later release
      }
    }
  }

  private static void bound(List<?> list, int most) throws MalformedMessageException {
    if (list.size() >= most) {
      throw new MalformedMessageException("too many");
    }
  }

  private static MemberMessage message(Parts parts) throws MalformedMessageException {
    List<GossipUpdate> updates = List.copyOf(parts.updates);
    MemberInfo card = parts.card;
    return switch ((int) Math.min(parts.kind, Integer.MAX_VALUE)) {
      case PROBE ->
          new MemberMessage.Probe(card, parts.number, parts.target, parts.suspicion, updates);
      case ACK -> new MemberMessage.Ack(card, parts.number, parts.suspicion, updates);
      case ASK ->
          new MemberMessage.Ask(
              card, parts.number, parts.target, parts.address, parts.suspicion, updates);
      case VOUCH -> new MemberMessage.Vouch(card, parts.number, parts.reached, updates);
      case GOSSIP -> new MemberMessage.Gossip(card, parts.suspicion, updates);
      case DIGEST -> digest(parts);
      case LISTING ->
          new MemberMessage.Listing(
              card, (int) parts.bucket, parts.after, parts.upTo, parts.reply, updates);
      default -> throw new MalformedMessageException("a kind that is not known");
    };
  }

  private static MemberMessage digest(Parts parts) throws MalformedMessageException {
    if (parts.sums.size() != BUCKETS) {
      throw new MalformedMessageException("a digest with missing sums");
    }
    return new MemberMessage.Digest(parts.card, parts.number, parts.sums);
  }

  private static byte[] sums(List<Integer> sums) {
    ByteBuffer out = ByteBuffer.allocate(sums.size() * Integer.BYTES);
    sums.forEach(out::putInt);
    return out.array();
  }

  private static void sums(byte[] bytes, List<Integer> sums) {
    ByteBuffer in = ByteBuffer.wrap(bytes);
    while (in.remaining() >= Integer.BYTES && sums.size() < BUCKETS) {
      sums.add(in.getInt());
    }
  }

  private static MemberInfo card(FieldReader in) throws MalformedMessageException {
    long incarnation = 0;
    long birth = 0;
    String address = "";
    String site = "";
    while (in.next()) {
      switch (in.field()) {
        // The highest half is refused, so that a forged one leaves room to refute it.
        case 1 -> incarnation = in.number(Long.MAX_VALUE / 2);
        case 2 -> birth = in.fixed();
        case 3 -> address = in.text(MAX_ADDRESS_BYTES);
        case 4 -> site = in.text(MAX_SITE_BYTES);
        default -> {
          // of a later release
        }
      }
    }
    return new MemberInfo(incarnation, birth, address, site);
  }

  private static GossipUpdate update(FieldReader in) throws MalformedMessageException {
    String name = "";
    int status = 0;
    MemberInfo card = MemberInfo.NONE;
    String accuser = "";
    long age = 0;
    while (in.next()) {
      switch (in.field()) {
        case 1 -> name = in.text(MAX_NAME_BYTES);
        case 2 -> status = (int) in.number(MemberStatus.values().length - 1);
        case 3 -> card = card(in.within());
        case 4 -> accuser = in.text(MAX_NAME_BYTES);
        case 5 -> age = in.number(AGE_MOST);
        default -> {
          // of a later release
        }
      }
    }
    if (name.isEmpty() || card.incarnation() == 0 || card.address().isEmpty()) {
      throw new MalformedMessageException("a rumour of nobody");
    }
    return new GossipUpdate(name, MemberStatus.values()[status], card, accuser, age);
  }

  private static SuspicionLevel suspicion(FieldReader in) throws MalformedMessageException {
    int status = 0;
    long incarnation = 0;
    long birth = 0;
    while (in.next()) {
      switch (in.field()) {
        case 1 -> status = (int) in.number(MemberStatus.values().length - 1);
        case 2 -> incarnation = in.number(Long.MAX_VALUE / 2);
        case 3 -> birth = in.fixed();
        default -> {
          // of a later release
        }
      }
    }
    return new SuspicionLevel(MemberStatus.values()[status], incarnation, birth);
  }
}
