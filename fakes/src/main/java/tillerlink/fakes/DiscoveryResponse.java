package tillerlink.fakes;

import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.EndpointEntry;

/**
 * Encoder of the discovery service's DNS responses, which contain the full endpoint list (RFC 1035,
 * RFC 2782). Engines whose status is {@code GONE} have no records.
 */
public final class DiscoveryResponse {
  private static final int QUESTION_OFFSET = 12;
  private static final String[] QUESTION = {"_back", "_tcp", "pool", "lan"};
  private static final int IN = 1;
  private static final int A = 1;
  private static final int SOA = 6;
  private static final int TXT = 16;
  private static final int SRV = 33;
  private static final int COMPRESSION_POINTER = 0xc000;
  private static final int ANSWER_FLAGS = 0x8400;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream(1024);

  private DiscoveryResponse() {}

  /**
   * Encodes the response to a query. The query's id is in the first two bytes only, so {@link
   * #withId} can reuse the rest for other queries.
   *
   * @param id the query's id, of which the lower 16 bits are used
   * @param serial the version of the endpoint list, encoded as the serial of the SOA record
   */
  public static byte[] of(int id, long serial, List<EndpointEntry> entries) {
    DiscoveryResponse response = new DiscoveryResponse();
    response.write(id, serial, entries.stream().filter(e -> e.standing() != Status.GONE).toList());
    return response.out.toByteArray();
  }

  /** Returns a copy of an encoded response with the id of another query. */
  public static byte[] withId(int id, byte[] response) {
    byte[] copy = response.clone();
    copy[0] = (byte) (id >> 8);
    copy[1] = (byte) id;
    return copy;
  }

  private void write(int id, long serial, List<EndpointEntry> entries) {
    writeShorts(id, ANSWER_FLAGS, 1, entries.size(), 1, 2 * entries.size());
    writeName(QUESTION);
    writeShorts(SRV, IN);
    for (EndpointEntry entry : entries) {
      writePointerToQuestion();
      writeShorts(SRV, IN, 0, 0);
      byte[] target = encoded(target(entry));
      writeShorts(
          6 + target.length,
          entry.standing() == Status.DRAINING ? 1 : 0,
          (int) Math.round(entry.weight() * 10),
          entry.port());
      out.writeBytes(target);
    }
    writePointerToQuestion();
    writeShorts(SOA, IN, 0, 0);
    byte[] nameServer = encoded("ns");
    writeShorts(2 * nameServer.length + 20);
    out.writeBytes(nameServer);
    out.writeBytes(nameServer);
    writeShorts((int) (serial >>> 16), (int) (serial & 0xffff), 0, 0, 0, 0, 0, 0, 0, 0);
    for (EndpointEntry entry : entries) {
      byte[] target = encoded(target(entry));
      out.writeBytes(target);
      writeShorts(A, IN, 0, 0, 4);
      out.writeBytes(addressBytes(entry));
      out.writeBytes(target);
      writeShorts(TXT, IN, 0, 0);
      ByteArrayOutputStream text = new ByteArrayOutputStream();
      for (String part :
          List.of("kind=" + entry.kind(), "cell=" + entry.cell(), "started=" + entry.startedMs())) {
        text.write(part.length());
        text.writeBytes(part.getBytes(StandardCharsets.US_ASCII));
      }
      writeShorts(text.size());
      out.writeBytes(text.toByteArray());
    }
  }

  private static String[] target(EndpointEntry entry) {
    return new String[] {entry.id(), entry.zone(), "hosts"};
  }

  private static byte[] addressBytes(EndpointEntry entry) {
    try {
      return InetAddress.getByName(entry.address()).getAddress();
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("engine address can't be resolved: " + entry.address(), e);
    }
  }

  private void writeShorts(int... values) {
    for (int value : values) {
      out.write(value >> 8);
      out.write(value);
    }
  }

  private void writePointerToQuestion() {
    writeShorts(COMPRESSION_POINTER | QUESTION_OFFSET);
  }

  private void writeName(String... labels) {
    out.writeBytes(encoded(labels));
  }

  private static byte[] encoded(String... labels) {
    ByteArrayOutputStream name = new ByteArrayOutputStream();
    for (String label : labels) {
      name.write(label.length());
      name.writeBytes(label.getBytes(StandardCharsets.US_ASCII));
    }
    name.write(0);
    return name.toByteArray();
  }
}
