package tillerlink.messages.envelope;

import java.util.Arrays;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;

/**
 * Encodes and decodes datagrams. A datagram consists of two magic bytes, the minimum version that a
 * reader must support, a byte of flags, the fields of the envelope, and the seal if the fleet has a
 * secret. A later release adds fields, and raises the minimum version only if it changes something
 * that earlier releases rely on. Instances are not thread-safe.
 */
public final class EnvelopeCodec {
  private static final int MAGIC_1 = 0x74;
  private static final int MAGIC_2 = 0x6c;

  /** The minimum version that a reader must support to read the datagrams of this release. */
  private static final int REQUIRED_VERSION = 1;

  private static final int FLAG_SEALED = 1;

  private static final int MAGIC_1_OFFSET = 0;
  private static final int MAGIC_2_OFFSET = 1;
  private static final int REQUIRED_VERSION_OFFSET = 2;
  private static final int FLAGS_OFFSET = 3;
  private static final int HEADER_BYTES = 4;

  private static final int MAX_COMPONENT = 255;

  private static final int VERSION = 1;
  private static final int FLEET = 2;
  private static final int SENDER = 3;
  private static final int INCARNATION = 4;
  private static final int COMPONENT = 5;
  private static final int COUNTER = 6;
  private static final int FIRST_COUNTER = 7;
  private static final int FRAGMENT_INDEX = 8;
  private static final int FRAGMENT_COUNT = 9;
  private static final int BODY = 10;

  private final long fleet;
  private final Seal seal;

  /**
   * Creates the codec of one fleet.
   *
   * @param fleet the fleet's name
   * @param seal the seal made from the fleet's secret, null if the fleet has no secret
   */
  public EnvelopeCodec(String fleet, Seal seal) {
    this.fleet = Seal.hashOf(fleet);
    this.seal = seal;
  }

  /** Returns the hash of the fleet's name. */
  public long fleet() {
    return fleet;
  }

  // ---- writing ----

  /** Encodes a datagram, sealed if the fleet has a secret. */
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
      System.arraycopy(seal.compute(datagram, length), 0, datagram, length, Seal.BYTES);
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
            .number(COMPONENT, envelope.component())
            .number(COUNTER, envelope.counter());
    if (envelope.fragmentCount() > 1) {
      out.number(FIRST_COUNTER, envelope.firstCounter())
          .number(FRAGMENT_INDEX, envelope.fragmentIndex())
          .number(FRAGMENT_COUNT, envelope.fragmentCount());
    }
    return out.bytes(BODY, envelope.body()).done();
  }

  // ---- reading ----

  /**
   * Decodes a datagram. The fields are read only after the seal has been verified.
   *
   * @throws RefusedException if the datagram is malformed, fails verification or belongs to another
   *     fleet
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

  /** Checks the header and the seal, and returns the offset at which the fields end. */
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
    if (sealed && (seal == null || !seal.verify(datagram, length))) {
      throw new RefusedException(Refusal.FORGED);
    }
    return length;
  }

  /** The field values read so far from one envelope. */
  private static final class Fields {
    private int version;
    private long fleet;
    private String sender = "";
    private long incarnation;
    private int component;
    private long counter;
    private long firstCounter;
    private int fragmentIndex;
    private int fragmentCount = 1;
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
        fields.component,
        fields.counter,
        fields.fragmentCount > 1 ? fields.firstCounter : fields.counter,
        fields.fragmentIndex,
        fields.fragmentCount,
        fields.body);
  }

  private static void readField(FieldReader in, Fields fields) throws MalformedMessageException {
    switch (in.field()) {
      case VERSION -> fields.version = (int) in.number(Integer.MAX_VALUE);
      case FLEET -> fields.fleet = in.fixed();
      case SENDER -> fields.sender = in.text(Envelope.MAX_NAME_BYTES);
      case INCARNATION -> fields.incarnation = in.fixed();
      case COMPONENT -> fields.component = (int) in.number(MAX_COMPONENT);
      case COUNTER -> fields.counter = in.number();
      case BODY -> fields.body = in.bytes(Envelope.MAX_BODY_BYTES);
      default -> readFragmentField(in, fields);
    }
  }

  private static void readFragmentField(FieldReader in, Fields fields)
      throws MalformedMessageException {
    switch (in.field()) {
      case FIRST_COUNTER -> fields.firstCounter = in.number();
      case FRAGMENT_INDEX -> fields.fragmentIndex = (int) in.number(Envelope.MAX_FRAGMENTS);
      case FRAGMENT_COUNT -> fields.fragmentCount = (int) in.number(Envelope.MAX_FRAGMENTS);
      default -> {
        // Skips a field of a later release.
      }
    }
  }

  private static boolean isPlausible(Envelope envelope) {
    return envelope.version() >= 1
        && !envelope.sender().isEmpty()
        && envelope.incarnation() != 0
        && envelope.component() >= 1
        && envelope.counter() >= 1
        && isPlausibleFragment(envelope);
  }

  private static boolean isPlausibleFragment(Envelope envelope) {
    return envelope.fragmentCount() >= 1
        && envelope.fragmentIndex() < envelope.fragmentCount()
        && envelope.firstCounter() >= 1
        && envelope.counter() >= envelope.fragmentIndex() + 1
        && envelope.counter() - envelope.fragmentIndex() == envelope.firstCounter()
        && (envelope.fragmentCount() == 1 || envelope.body().length > 0);
  }
}
