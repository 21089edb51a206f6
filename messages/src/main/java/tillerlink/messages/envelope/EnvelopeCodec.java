package tillerlink.messages.envelope;

import java.util.Arrays;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;

/**
 * Datagrams: two bytes that say they are ours, the release that a reader must know at the least, a
 * byte of flags, the fields of the envelope, and the seal if there is one. A later release adds
 * fields and raises what a reader must know only if it changes what the earlier ones rely on.
 */
public final class EnvelopeCodec {
  private static final int MARK_1 = 0x74;
  private static final int MARK_2 = 0x6c;
  private static final int NEEDS = 1;
  private static final int SEALED = 1;
  private static final int HEAD = 4;
  private static final int PARTS_MOST = 255;

  private static final int VERSION = 1;
  private static final int FLEET = 2;
  private static final int SENDER = 3;
  private static final int LIFE = 4;
  private static final int PART = 5;
  private static final int COUNTER = 6;
  private static final int FIRST = 7;
  private static final int PIECE = 8;
  private static final int PIECES = 9;
  private static final int BODY = 10;

  private final long fleet;
  private final Seal seal;

  /**
   * @param seal null where the fleet has no secret
   */
  public EnvelopeCodec(String fleet, Seal seal) {
    this.fleet = Seal.sum(fleet);
    this.seal = seal;
  }

  public long fleet() {
    return fleet;
  }

  public byte[] encode(Envelope e) {
    FieldWriter fields =
        new FieldWriter()
            .number(VERSION, e.version())
            .fixed(FLEET, e.fleet())
            .text(SENDER, e.sender())
            .fixed(LIFE, e.life())
            .number(PART, e.part())
            .number(COUNTER, e.counter());
    if (e.pieces() > 1) {
      fields.number(FIRST, e.first()).number(PIECE, e.piece()).number(PIECES, e.pieces());
    }
    byte[] bytes = fields.bytes(BODY, e.body()).done();
    int length = HEAD + bytes.length;
    byte[] datagram = new byte[length + (seal == null ? 0 : Seal.BYTES)];
    datagram[0] = MARK_1;
    datagram[1] = MARK_2;
    datagram[2] = NEEDS;
    datagram[3] = (byte) (seal == null ? 0 : SEALED);
    System.arraycopy(bytes, 0, datagram, HEAD, bytes.length);
    if (seal != null) {
      System.arraycopy(seal.of(datagram, length), 0, datagram, length, Seal.BYTES);
    }
    return datagram;
  }

  /**
   * Nothing of the fields is looked at before the seal is known to be right.
   *
   * @throws RefusedException if it is not one of this fleet's
   */
  public Envelope decode(byte[] datagram) throws RefusedException {
    int length = checkHead(datagram);
    try {
      Envelope envelope = fields(new FieldReader(Arrays.copyOfRange(datagram, HEAD, length)));
      if (envelope.fleet() != fleet) {
        throw new RefusedException(Refusal.FOREIGN);
      }
      if (!plausible(envelope)) {
        throw new RefusedException(Refusal.GARBLED);
      }
      return envelope;
    } catch (MalformedMessageException e) {
      throw new RefusedException(Refusal.GARBLED);
    }
  }

  /** Where the fields end. */
  private int checkHead(byte[] datagram) throws RefusedException {
    if (datagram.length > Envelope.DATAGRAM_MOST) {
      throw new RefusedException(Refusal.OVERSIZED);
    }
    if (datagram.length < HEAD
        || datagram[0] != MARK_1
        || datagram[1] != MARK_2
        || datagram[2] < 1) {
      throw new RefusedException(Refusal.GARBLED);
    }
    if (datagram[2] > NEEDS) {
      throw new RefusedException(Refusal.TOO_NEW);
    }
    boolean sealed = (datagram[3] & SEALED) != 0;
    int length = datagram.length - (sealed ? Seal.BYTES : 0);
    if (length < HEAD) {
      throw new RefusedException(Refusal.GARBLED);
    }
    if (seal != null && !sealed) {
      throw new RefusedException(Refusal.UNSEALED);
    }
    if (sealed && (seal == null || !seal.fits(datagram, length))) {
      throw new RefusedException(Refusal.FORGED);
    }
    return length;
  }

  private static Envelope fields(FieldReader in) throws MalformedMessageException {
    int version = 0;
    long fleet = 0;
    String sender = "";
    long life = 0;
    int part = 0;
    long counter = 0;
    long first = 0;
    int piece = 0;
    int pieces = 1;
    byte[] body = {};
    while (in.next()) {
      switch (in.field()) {
        case VERSION -> version = (int) in.number(Integer.MAX_VALUE);
        case FLEET -> fleet = in.fixed();
        case SENDER -> sender = in.text(Envelope.NAME_MOST);
        case LIFE -> life = in.fixed();
        case PART -> part = (int) in.number(PARTS_MOST);
        case COUNTER -> counter = in.number();
        case FIRST -> first = in.number();
        case PIECE -> piece = (int) in.number(Envelope.PIECES_MOST);
        case PIECES -> pieces = (int) in.number(Envelope.PIECES_MOST);
        case BODY -> body = in.bytes(Envelope.BODY_MOST);
        default -> {
          // Of a later release.
        }
      }
    }
    return new Envelope(
        version,
        fleet,
        sender,
        life,
        part,
        counter,
        pieces > 1 ? first : counter,
        piece,
        pieces,
        body);
  }

  private static boolean plausible(Envelope e) {
    return e.version() >= 1
        && !e.sender().isEmpty()
        && e.life() != 0
        && e.part() >= 1
        && e.counter() >= 1
        && e.pieces() >= 1
        && e.piece() < e.pieces()
        && e.first() >= 1
        && e.counter() >= e.piece() + 1
        && e.counter() - e.piece() == e.first()
        && (e.pieces() == 1 || e.body().length > 0);
  }
}
