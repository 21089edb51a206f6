package tillerlink.fakes;

import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.EndpointEntry;

/**
 * The discovery service's answer with the whole list (RFC 1035, RFC 2782); engines that are gone
 * have no records.
 */
public final class NameAnswer {
  private static final int QUESTION_AT = 12;
  private static final String[] QUESTION = {"_back", "_tcp", "pool", "lan"};
  private static final int A = 1;
  private static final int SOA = 6;
  private static final int TXT = 16;
  private static final int SRV = 33;
  private static final int ANSWER_FLAGS = 0x8400;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream(1024);

  private NameAnswer() {}

  /**
   * The answer to the query of that id; its first two bytes are the id, so that it can be used for
   * others.
   */
  public static byte[] of(int id, long serial, List<EndpointEntry> entries) {
    NameAnswer answer = new NameAnswer();
    answer.all(id, serial, entries.stream().filter(e -> e.standing() != Status.GONE).toList());
    return answer.out.toByteArray();
  }

  /** The same answer to another query. */
  public static byte[] to(int id, byte[] answer) {
    byte[] copy = answer.clone();
    copy[0] = (byte) (id >> 8);
    copy[1] = (byte) id;
    return copy;
  }

  private void all(int id, long serial, List<EndpointEntry> entries) {
    two(id, ANSWER_FLAGS, 1, entries.size(), 1, 2 * entries.size());
    name(QUESTION);
    two(SRV, 1);
    for (EndpointEntry entry : entries) {
      pointer();
      two(SRV, 1, 0, 0);
      byte[] target = encoded(target(entry));
      two(
          6 + target.length,
          entry.standing() == Status.DRAINING ? 1 : 0,
          (int) Math.round(entry.weight() * 10),
          entry.port());
      out.writeBytes(target);
    }
    pointer();
    two(SOA, 1, 0, 0);
    byte[] nobody = encoded("ns");
    two(2 * nobody.length + 20);
    out.writeBytes(nobody);
    out.writeBytes(nobody);
    two((int) (serial >>> 16), (int) (serial & 0xffff), 0, 0, 0, 0, 0, 0, 0, 0);
    for (EndpointEntry entry : entries) {
      byte[] target = encoded(target(entry));
      out.writeBytes(target);
      two(A, 1, 0, 0, 4);
      out.writeBytes(address(entry));
      out.writeBytes(target);
      two(TXT, 1, 0, 0);
      ByteArrayOutputStream text = new ByteArrayOutputStream();
      for (String part :
          List.of("kind=" + entry.kind(), "cell=" + entry.cell(), "started=" + entry.startedMs())) {
        text.write(part.length());
        text.writeBytes(part.getBytes(StandardCharsets.US_ASCII));
      }
      two(text.size());
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

  private void two(int... values) {
    for (int value : values) {
      out.write(value >> 8);
      out.write(value);
    }
  }

  private void pointer() {
    two(0xc000 | QUESTION_AT);
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
