package tillerlink.fakes;

import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.EndpointEntry;

/**
 * A DNS response of the discovery service with the full endpoint list (RFC 1035, RFC 2782). Engines
 * that are gone have no records.
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
   * Encodes the response to a query. Its first two bytes are the query's id; {@link #withId} reuses
   * the rest.
   */
  public static byte[] of(int id, long serial, List<EndpointEntry> entries) {
    DiscoveryResponse response = new DiscoveryResponse();
    response.write(id, serial, entries.stream().filter(e -> e.standing() != Status.GONE).toList());
    return response.out.toByteArray();
  }

  /** Returns the same response to another query. */
  public static byte[] withId(int id, byte[] response) {
    byte[] copy = response.clone();
    copy[0] = (byte) (id >> 8);
    copy[1] = (byte) id;
    return copy;
  }

  private void write(int id, long serial, List<EndpointEntry> entries) {
    shorts(id, ANSWER_FLAGS, 1, entries.size(), 1, 2 * entries.size());
    name(QUESTION);
    shorts(SRV, IN);
    for (EndpointEntry entry : entries) {
      pointerToQuestion();
      shorts(SRV, IN, 0, 0);
      byte[] target = encoded(target(entry));
      shorts(
          6 + target.length,
          entry.standing() == Status.DRAINING ? 1 : 0,
          (int) Math.round(entry.weight() * 10),
          entry.port());
      out.writeBytes(target);
    }
    pointerToQuestion();
    shorts(SOA, IN, 0, 0);
    byte[] nameServer = encoded("ns");
    shorts(2 * nameServer.length + 20);
    out.writeBytes(nameServer);
    out.writeBytes(nameServer);
    shorts((int) (serial >>> 16), (int) (serial & 0xffff), 0, 0, 0, 0, 0, 0, 0, 0);
    for (EndpointEntry entry : entries) {
      byte[] target = encoded(target(entry));
      out.writeBytes(target);
      shorts(A, IN, 0, 0, 4);
      out.writeBytes(address(entry));
      out.writeBytes(target);
      shorts(TXT, IN, 0, 0);
      ByteArrayOutputStream text = new ByteArrayOutputStream();
      for (String part :
          List.of("kind=" + entry.kind(), "cell=" + entry.cell(), "started=" + entry.startedMs())) {
        text.write(part.length());
        text.writeBytes(part.getBytes(StandardCharsets.US_ASCII));
      }
      shorts(text.size());
      out.writeBytes(text.toByteArray());
    }
  }

  private static String[] target(EndpointEntry entry) {
    return new String[] {entry.id(), entry.zone(), "hosts"};
  }

  private static byte[] address(EndpointEntry entry) {
    try {
      return InetAddress.getByName(entry.address()).getAddress();
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("not an address: " + entry.address(), e);
    }
  }

  private void shorts(int... values) {
    for (int value : values) {
      out.write(value >> 8);
      out.write(value);
    }
  }

  private void pointerToQuestion() {
    shorts(COMPRESSION_POINTER | QUESTION_OFFSET);
  }

  private void name(String... labels) {
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
