package tillerlink;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import tillerlink.net.wire.Dns;

/** Answers of a discovery service, for tests. */
public final class DiscoveryAnswers {
  private DiscoveryAnswers() {}

  /**
   * An answer of the discovery service, names compressed; engines as "id ready|draining
   * address:port zone kind cell started".
   */
  public static byte[] of(int id, int serial, String... engines) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    put(out, id, 0x8400, 1, engines.length, 1, 2 * engines.length);
    out.writeBytes(Arrays.copyOfRange(Dns.query(id), 12, Dns.query(id).length));
    int[] targets = new int[engines.length];
    for (int i = 0; i < engines.length; i++) {
      String[] engine = engines[i].split(" ", -1);
      put(
          out,
          0xc00c,
          33,
          1,
          0,
          5,
          6 + engine[0].length() + 1 + engine[3].length() + 1 + 7,
          engine[1].equals("ready") ? 0 : 1,
          10,
          Integer.parseInt(engine[2].split(":", -1)[1]));
      targets[i] = out.size();
      name(out, engine);
    }
    put(out, 0xc00c, 6, 1, 0, 5, 24, 0xc00c, 0xc00c, serial >> 16, serial, 0, 0, 0, 0, 0, 0, 0, 0);
    for (int i = 0; i < engines.length; i++) {
      String[] engine = engines[i].split(" ", -1);
      owner(out, targets[i], engine);
      put(out, 1, 1, 0, 5, 4);
      for (String part : engine[2].split(":", -1)[0].split("\\.", -1)) {
        out.write(Integer.parseInt(part));
      }
      ByteArrayOutputStream texts = new ByteArrayOutputStream();
      label(texts, "kind=" + engine[4]);
      label(texts, "cell=" + engine[5]);
      label(texts, "started=" + engine[6]);
      owner(out, targets[i], engine);
      put(out, 16, 1, 0, 5, texts.size());
      out.writeBytes(texts.toByteArray());
    }
    return out.toByteArray();
  }

  /** Where the record ends that holds the serial of an answer about one engine. */
  public static int serialEnd(byte[] answer) {
    int head = Dns.query(0).length;
    int service = head + 12 + shortAt(answer, head + 10);
    return service + 12 + 24;
  }

  /** The number of a query, as its answer has to repeat it. */
  public static int queryId(byte[] query) {
    return shortAt(query, 0);
  }

  private static int shortAt(byte[] bytes, int at) {
    return ((bytes[at] & 255) << 8) | (bytes[at + 1] & 255);
  }

  /** A pointer to the name, or the name itself where a pointer can't reach. */
  private static void owner(ByteArrayOutputStream out, int target, String[] engine) {
    if (target < 0x4000) {
      put(out, 0xc000 | target);
    } else {
      name(out, engine);
    }
  }

  private static void name(ByteArrayOutputStream out, String[] engine) {
    label(out, engine[0]);
    label(out, engine[3]);
    label(out, "hosts");
    out.write(0);
  }

  private static void put(ByteArrayOutputStream out, int... pairs) {
    for (int pair : pairs) {
      out.write(pair >> 8);
      out.write(pair);
    }
  }

  private static void label(ByteArrayOutputStream out, String label) {
    out.write(label.length());
    out.writeBytes(label.getBytes(StandardCharsets.UTF_8));
  }
}
