package tillerlink.messages.envelope;

/**
 * What stands around every datagram between gateways.
 *
 * @param version the release of the format that its writer knows; from 1 on
 * @param fleet sum of the fleet's name
 * @param sender the sender's name; 1 to 64 bytes
 * @param life drawn by the sender's process at its start: what its counter counts from
 * @param part which part of the state it is for; 1 to 255
 * @param counter of this sender's datagrams in this life, from 1 on; never used twice
 * @param first the counter of the first piece of its message
 * @param piece its place among the pieces, from 0 on
 * @param pieces of the message; 1 for one that came whole
 * @param body the piece; at most {@value #BODY_MOST} bytes
 */
public record Envelope(
    int version,
    long fleet,
    String sender,
    long life,
    int part,
    long counter,
    long first,
    int piece,
    int pieces,
    byte[] body) {
  /** What this release writes. */
  public static final int VERSION = 1;

  public static final int NAME_MOST = 64;
  public static final int BODY_MOST = 1_100;
  public static final int PIECES_MOST = 16;

  /**
   * No datagram is longer: one of this size fits into the smallest packet that IPv6 promises to
   * carry.
   */
  public static final int DATAGRAM_MOST = 1_232;
}
