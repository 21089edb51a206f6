package tillerlink.messages.members;

import java.nio.ByteBuffer;
import java.util.List;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;

/** Encodes and decodes the messages between members. */
public final class MemberCodec {
  /** The maximum length of a member's name, in bytes of UTF-8. */
  public static final int MAX_NAME_BYTES = 64;

  /** The maximum length of a member's address, in bytes of UTF-8. */
  public static final int MAX_ADDRESS_BYTES = 100;

  /** The maximum length of a member's site, in bytes of UTF-8. */
  public static final int MAX_SITE_BYTES = 64;

  /** The maximum number of gossip updates in a message. */
  public static final int MAX_UPDATES = 64;

  /** The number of buckets into which an anti-entropy digest divides the member names. */
  public static final int BUCKETS = 32;

  /** The maximum age of a gossip update, in tenths of a millisecond: 30 days. */
  public static final long AGE_MOST = 30L * 24 * 3600 * 10_000;

  /**
   * The maximum size of the field numbers, the length prefixes and the birth of a gossip update, in
   * bytes.
   */
  private static final int UPDATE_FRAME_BYTES = 30;

  private static final int VARINT_BITS = 7;
  private static final int HASH_MULTIPLIER = 0x9e3779b9;
  private static final int BUCKET_BITS = 5;

  private MemberCodec() {}

  /** Returns the digest bucket of a name, from 0; it is the same in every release. */
  public static int bucket(String name) {
    return (name.hashCode() * HASH_MULTIPLIER) >>> (Integer.SIZE - BUCKET_BITS);
  }

  /** Encodes a message. */
  public static byte[] write(MemberMessage message) {
    FieldWriter out = new FieldWriter();
    if (message instanceof MemberMessage.Probe probe) {
      out.number(MemberFields.KIND, MemberFields.PROBE)
          .fixed(MemberFields.NUMBER, probe.number())
          .text(MemberFields.TARGET, probe.target());
      writeSuspicion(out, probe.suspicion());
    } else if (message instanceof MemberMessage.Ack ack) {
      out.number(MemberFields.KIND, MemberFields.ACK).fixed(MemberFields.NUMBER, ack.number());
      writeSuspicion(out, ack.suspicion());
    } else if (message instanceof MemberMessage.Ask request) {
      writeRequest(out, request);
    } else if (message instanceof MemberMessage.Vouch result) {
      out.number(MemberFields.KIND, MemberFields.VOUCH)
          .fixed(MemberFields.NUMBER, result.number())
          .flag(MemberFields.REACHED, result.reached());
    } else if (message instanceof MemberMessage.Gossip gossip) {
      out.number(MemberFields.KIND, MemberFields.GOSSIP);
      writeSuspicion(out, gossip.suspicion());
    } else if (message instanceof MemberMessage.Digest digest) {
      out.number(MemberFields.KIND, MemberFields.DIGEST)
          .fixed(MemberFields.NUMBER, digest.salt())
          .bytes(MemberFields.SUMS, encodeSums(digest.sums()));
    } else if (message instanceof MemberMessage.Listing listing) {
      writeListing(out, listing);
    }
    out.within(MemberFields.CARD, encodeCard(message.card()));
    message.updates().forEach(update -> out.within(MemberFields.UPDATE, encodeUpdate(update)));
    return out.done();
  }

  private static void writeRequest(FieldWriter out, MemberMessage.Ask request) {
    out.number(MemberFields.KIND, MemberFields.ASK)
        .fixed(MemberFields.NUMBER, request.number())
        .text(MemberFields.TARGET, request.target())
        .text(MemberFields.ADDRESS, request.address());
    writeSuspicion(out, request.suspicion());
  }

  private static void writeListing(FieldWriter out, MemberMessage.Listing listing) {
    out.number(MemberFields.KIND, MemberFields.LISTING)
        .number(MemberFields.BUCKET, listing.bucket())
        .text(MemberFields.AFTER, listing.after())
        .text(MemberFields.UP_TO, listing.upTo())
        .flag(MemberFields.REPLY, listing.reply());
  }

  private static FieldWriter encodeCard(MemberInfo card) {
    return new FieldWriter()
        .number(MemberFields.CARD_INCARNATION, card.incarnation())
        .fixed(MemberFields.CARD_BIRTH, card.birth())
        .text(MemberFields.CARD_ADDRESS, card.address())
        .text(MemberFields.CARD_SITE, card.site());
  }

  private static FieldWriter encodeUpdate(GossipUpdate update) {
    return new FieldWriter()
        .text(MemberFields.UPDATE_NAME, update.name())
        .number(MemberFields.UPDATE_STATUS, update.status().number())
        .within(MemberFields.UPDATE_CARD, encodeCard(update.card()))
        .text(MemberFields.UPDATE_ACCUSER, update.accuser())
        .number(MemberFields.UPDATE_AGE, update.age());
  }

  private static void writeSuspicion(FieldWriter out, SuspicionLevel suspicion) {
    if (suspicion.isPresent()) {
      out.within(
          MemberFields.SUSPICION,
          new FieldWriter()
              .number(MemberFields.SUSPICION_STATUS, suspicion.status().number())
              .number(MemberFields.SUSPICION_INCARNATION, suspicion.incarnation())
              .fixed(MemberFields.SUSPICION_BIRTH, suspicion.birth()));
    }
  }

  private static byte[] encodeSums(List<Integer> sums) {
    ByteBuffer out = ByteBuffer.allocate(sums.size() * Integer.BYTES);
    sums.forEach(out::putInt);
    return out.array();
  }

  /** Returns the maximum number of bytes that a gossip update adds to a message. */
  public static int size(GossipUpdate update) {
    MemberInfo card = update.card();
    return UPDATE_FRAME_BYTES
        + varintBytes(card.incarnation())
        + varintBytes(update.age())
        + utf8Bytes(update.name())
        + utf8Bytes(card.address())
        + utf8Bytes(card.site())
        + utf8Bytes(update.accuser());
  }

  private static int varintBytes(long value) {
    int bits = Long.SIZE - Long.numberOfLeadingZeros(value | 1);
    return (bits + VARINT_BITS - 1) / VARINT_BITS;
  }

  /**
   * Returns an upper bound of a text's length in bytes of UTF-8: a surrogate pair counts as six
   * bytes instead of four.
   */
  private static int utf8Bytes(String text) {
    int bytes = text.length();
    for (int i = 0; i < text.length(); i++) {
      char codeUnit = text.charAt(i);
      bytes += codeUnit < 0x80 ? 0 : codeUnit < 0x800 ? 1 : 2;
    }
    return bytes;
  }

  /**
   * Decodes a message.
   *
   * @throws MalformedMessageException if a field is malformed or missing, or the kind is unknown to
   *     this release
   */
  public static MemberMessage read(byte[] body) throws MalformedMessageException {
    return new MemberMessageReader().read(body);
  }
}
