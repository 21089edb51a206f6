package tillerlink.messages.envelope;

import java.util.Arrays;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;

/**
 * Writes and reads datagrams: two magic bytes, the version that a reader must know at the least, a
 * byte of flags, the fields of the envelope, and the seal if there is one. A later release adds
 * fields, and raises the version that a reader must know only if it changes what earlier releases
 * rely on. Used by one thread.
 */
public final class EnvelopeCodec {
  private static final int MAGIC_1 = 0x74;
  private static final int MAGIC_2 = 0x6c;

  /** The version that a reader must know to read what this release writes. */
  private static final int REQUIRED_VERSION = 1;

  private static final int FLAG_SEALED = 1;

  private static final int MAGIC_1_OFFSET = 0;
  private static final int MAGIC_2_OFFSET = 1;
  private static final int REQUIRED_VERSION_OFFSET = 2;
  private static final int FLAGS_OFFSET = 3;
  private static final int HEADER_BYTES = 4;

  private static final int MAX_PART = 255;

  private static final int VERSION = 1;
  private static final int FLEET = 2;
  private static final int SENDER = 3;
  private static final int INCARNATION = 4;
  private static final int PART = 5;
  private static final int COUNTER = 6;
  private static final int FIRST = 7;
  private static final int PIECE = 8;
  private static final int PIECES = 9;
  private static final int BODY = 10;

  private final long fleet;
  private final Seal seal;

  /**
   * Makes the codec of one fleet.
   *
   * @param fleet the fleet's name
   * @param seal null where the fleet has no secret
   */
  public EnvelopeCodec(String fleet, Seal seal) {
    this.fleet = Seal.sum(fleet);
    this.seal = seal;
  }

  /** Returns the hash of the fleet's name. */
  public long fleet() {
    return fleet;
  }

  // ---- writing ----

  /** Writes a datagram, sealed if the fleet has a secret. */
  public byte[] encode(Envelope envelope) {
    byte[] fields = writeFields(envelope);
    int length = HEADER_BYTES + fields.length;
    byte[] datagram = new byte[length + (seal == null ? 0 : Seal.BYTES)];
    datagram[MAGIC_1_OFFSET] = MAGIC_1;
    datagram[MAGIC_2_OFFSET] = MAGIC_2;
    datagram[REQUIRED_VERSION_OFFSET] = REQUIRED_VERSION;
    datagram[FLAGS_OFFSET] = (byte) (seal == null ? 0 : FLAG_SEALED);
    System.arraycopy(fields, 0, datagram, HEADER_BYTES, fields.length);
    if (seal != null) {
      System.arraycopy(seal.of(datagram, length), 0, datagram, length, Seal.BYTES);
    }
    return datagram;
  }

  private static byte[] writeFields(Envelope envelope) {
    FieldWriter out =
        new FieldWriter()
            .number(VERSION, envelope.version())
            .fixed(FLEET, envelope.fleet())
            .text(SENDER, envelope.sender())
            .fixed(INCARNATION, envelope.incarnation())
            .number(PART, envelope.part())
            .number(COUNTER, envelope.counter());
    if (envelope.pieces() > 1) {
      out.number(FIRST, envelope.first())
          .number(PIECE, envelope.piece())
          .number(PIECES, envelope.pieces());
    }
    return out.bytes(BODY, envelope.body()).done();
  }

  // ---- reading ----

  /**
   * Reads a datagram. The fields are read only after the seal was verified.
   *
   * @throws RefusedException if it is not one of this fleet's
   */
  public Envelope decode(byte[] datagram) throws RefusedException {
    int length = checkHeader(datagram);
    try {
      Envelope envelope =
          readFields(new FieldReader(Arrays.copyOfRange(datagram, HEADER_BYTES, length)));
      if (envelope.fleet() != fleet) {
        throw new RefusedException(Refusal.FOREIGN);
      }
      if (!isPlausible(envelope)) {
        throw new RefusedException(Refusal.GARBLED);
      }
      return envelope;
    } catch (MalformedMessageException e) {
      throw new RefusedException(Refusal.GARBLED);
    }
  }

  /** Checks the header and the seal, and returns where the fields end. */
  private int checkHeader(byte[] datagram) throws RefusedException {
    if (datagram.length > Envelope.MAX_DATAGRAM_BYTES) {
      throw new RefusedException(Refusal.OVERSIZED);
    }
    if (datagram.length < HEADER_BYTES
        || datagram[MAGIC_1_OFFSET] != MAGIC_1
        || datagram[MAGIC_2_OFFSET] != MAGIC_2
        || datagram[REQUIRED_VERSION_OFFSET] < 1) {
      throw new RefusedException(Refusal.GARBLED);
    }
    if (datagram[REQUIRED_VERSION_OFFSET] > REQUIRED_VERSION) {
      throw new RefusedException(Refusal.TOO_NEW);
    }
    return checkSeal(datagram);
  }

  private int checkSeal(byte[] datagram) throws RefusedException {
    boolean sealed = (datagram[FLAGS_OFFSET] & FLAG_SEALED) != 0;
    int length = datagram.length - (sealed ? Seal.BYTES : 0);
    if (length < HEADER_BYTES) {
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

  /** The values that were read so far of one envelope. */
  private static final class Fields {
    private int version;
    private long fleet;
    private String sender = "";
    private long incarnation;
    private int part;
    private long counter;
    private long first;
    private int piece;
    private int pieces = 1;
    private byte[] body = {};
  }

  private static Envelope readFields(FieldReader in) throws MalformedMessageException {
    Fields fields = new Fields();
    while (in.next()) {
      readField(in, fields);
    }
    return new Envelope(
        fields.version,
        fields.fleet,
        fields.sender,
        fields.incarnation,
        fields.part,
        fields.counter,
        fields.pieces > 1 ? fields.first : fields.counter,
        fields.piece,
        fields.pieces,
        fields.body);
  }

  private static void readField(FieldReader in, Fields to) throws MalformedMessageException {
    switch (in.field()) {
      case VERSION -> to.version = (int) in.number(Integer.MAX_VALUE);
      case FLEET -> to.fleet = in.fixed();
      case SENDER -> to.sender = in.text(Envelope.MAX_NAME_BYTES);
      case INCARNATION -> to.incarnation = in.fixed();
      case PART -> to.part = (int) in.number(MAX_PART);
      case COUNTER -> to.counter = in.number();
      case BODY -> to.body = in.bytes(Envelope.MAX_BODY_BYTES);
      default -> readFragmentField(in, to);
    }
  }

  private static void readFragmentField(FieldReader in, Fields to)
      throws MalformedMessageException {
    switch (in.field()) {
      case FIRST -> to.first = in.number();
      case PIECE -> to.piece = (int) in.number(Envelope.MAX_PIECES);
      case PIECES -> to.pieces = (int) in.number(Envelope.MAX_PIECES);
      default -> {
        // A field of a later release.
      }
    }
  }

  private static boolean isPlausible(Envelope envelope) {
    return envelope.version() >= 1
        && !envelope.sender().isEmpty()
        && envelope.incarnation() != 0
        && envelope.part() >= 1
        && envelope.counter() >= 1
        && isPlausibleFragment(envelope);
  }

  private static boolean isPlausibleFragment(Envelope envelope) {
    return envelope.pieces() >= 1
        && envelope.piece() < envelope.pieces()
        && envelope.first() >= 1
        && envelope.counter() >= envelope.piece() + 1
        && envelope.counter() - envelope.piece() == envelope.first()
        && (envelope.pieces() == 1 || envelope.body().length > 0);
  }
}
