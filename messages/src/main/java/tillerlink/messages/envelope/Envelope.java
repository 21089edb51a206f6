package tillerlink.messages.envelope;

/**
 * The frame of every datagram between gateways.
 *
 * @param version the release of the format that its writer knows; from 1 on
 * @param fleet hash of the fleet's name
 * @param sender the sender's name; 1 to {@value #MAX_NAME_BYTES} bytes
 * @param incarnation drawn by the sender's process at its start: its counter starts with it
 * @param part the component that the message is for; 1 to 255
 * @param counter of this sender's datagrams in this incarnation, from 1 on; never used twice
 * @param first the counter of the first fragment of its message
 * @param piece the place of this fragment among those of the message, from 0 on
 * @param pieces the fragments of the message; 1 for a message that is not fragmented
 * @param body the fragment; at most {@value #MAX_BODY_BYTES} bytes
 */
public record Envelope(
    int version,
    long fleet,
    String sender,
    long incarnation,
    int part,
    long counter,
    long first,
    int piece,
    int pieces,
    byte[] body) {
  /** The version that this release writes. */
  public static final int VERSION = 1;

  /** Bytes of a sender's name at the most. */
  public static final int MAX_NAME_BYTES = 64;

  /** Bytes of a body at the most. */
  public static final int MAX_BODY_BYTES = 1_100;

  /** Fragments of a message at the most. */
  public static final int MAX_PIECES = 16;

  /**
   * Bytes of a datagram at the most: one of this size fits into the smallest packet that every IPv6
   * link must carry.
   */
  public static final int MAX_DATAGRAM_BYTES = 1_232;
}
