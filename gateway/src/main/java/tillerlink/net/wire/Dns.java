package tillerlink.net.wire;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Encoder of DNS queries to the discovery service and decoder of its answers (RFC 1035; RFC 2782
 * for SRV records).
 */
public final class Dns {
  static final int HEADER_SIZE = 12;
  static final int TYPE_A = 1;
  static final int TYPE_SOA = 6;
  static final int TYPE_TXT = 16;
  static final int TYPE_SRV = 33;

  private static final String POOL_NAME = "_back._tcp.pool.lan";
  private static final int CLASS_IN = 1;

  /** The RD flag in the header: the server may query other servers on behalf of the client. */
  private static final int RECURSION_DESIRED = 1;

  private Dns() {}

  /**
   * Encodes the query for the whole endpoint list.
   *
   * @param id the id of the query, of 16 bits
   */
  public static byte[] encodeQuery(int id) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(64);
    int[] header = {id >> 8, id, RECURSION_DESIRED, 0, 0, 1, 0, 0, 0, 0, 0, 0};
    for (int octet : header) {
      out.write(octet);
    }
    for (String label : POOL_NAME.split("\\.", 0)) {
      out.write(label.length());
      out.writeBytes(label.getBytes(StandardCharsets.US_ASCII));
    }
    for (int octet : new int[] {0, 0, TYPE_SRV, 0, CLASS_IN}) {
      out.write(octet);
    }
    return out.toByteArray();
  }

  /** Returns the id of the query that a message answers, or -1 if the message is too short. */
  public static int messageId(byte[] message) {
    return message.length < 2 ? -1 : new DnsReader(message, 0).unsignedShortAt(0);
  }

  /**
   * Parses the endpoint list of an answer. A truncated answer gives a partial list if it contains
   * the serial number of the list.
   *
   * @param id the id of the query that the message must answer
   * @throws IllegalArgumentException if the message is not a usable answer to that query; the
   *     exception's message states the reason
   */
  public static EndpointWatchEvent parseAnswer(byte[] message, int id) {
    try {
      return new DnsAnswerParser(message).parse(id);
    } catch (IndexOutOfBoundsException e) {
      throw new MalformedProtocolException(
          "message of " + message.length + " bytes ends within a value");
    }
  }
}
