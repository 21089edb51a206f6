package tillerlink.messages.envelope;

/**
 * The frame of every datagram between gateways.
 *
 * @param version the format version of the sender, from 1
 * @param fleet the hash of the fleet's name
 * @param sender the sender's name; 1 to {@value #MAX_NAME_BYTES} bytes
 * @param incarnation a number other than 0 drawn by the sender's process at its start; the counter
 *     restarts with each incarnation
 * @param component the number of the component that the message is addressed to, 1 to 255
 * @param counter the number of the datagram among those of this sender and incarnation, from 1;
 *     never used twice
 * @param firstCounter the counter of the first fragment of the message
 * @param fragmentIndex the position of this fragment in the message, from 0
 * @param fragmentCount the number of fragments of the message; 1 if it is not fragmented
 * @param body the content of the fragment; at most {@value #MAX_BODY_BYTES} bytes
 */
public record Envelope(
    int version,
    long fleet,
    String sender,
    long incarnation,
    int component,
    long counter,
    long firstCounter,
    int fragmentIndex,
    int fragmentCount,
    byte[] body) {
  /** The format version that this release writes. */
  public static final int VERSION = 1;

  /** The maximum length of a sender's name, in bytes. */
  public static final int MAX_NAME_BYTES = 64;

  /** The maximum size of a body, in bytes. */
  public static final int MAX_BODY_BYTES = 1_100;

  /** The maximum number of fragments of a message. */
  public static final int MAX_FRAGMENTS = 16;

  /**
   * The maximum size of a datagram, in bytes, so that it fits into the smallest packet that every
   * IPv6 link must carry.
   */
  public static final int MAX_DATAGRAM_BYTES = 1_232;
}
