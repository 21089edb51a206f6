package tillerlink;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import tillerlink.net.wire.Dns;

/** Builds and inspects DNS answers of a discovery service, for tests. */
public final class DiscoveryAnswers {
  private DiscoveryAnswers() {}

  /**
   * Returns an answer with compressed names: service records, the record with the serial, then the
   * address and text records of each engine.
   *
   * @param id the id of the query
   * @param serial the serial of the endpoint list
   * @param engines the engines, each as "id ready|draining address:port zone kind cell started"
   */
  public static byte[] of(int id, int serial, String... engines) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    putShorts(out, id, 0x8400, 1, engines.length, 1, 2 * engines.length);
    out.writeBytes(Arrays.copyOfRange(Dns.encodeQuery(id), 12, Dns.encodeQuery(id).length));
    int[] targets = new int[engines.length];
    for (int i = 0; i < engines.length; i++) {
      String[] engine = engines[i].split(" ", -1);
      putShorts(
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
      putName(out, engine);
    }
    putShorts(
        out, 0xc00c, 6, 1, 0, 5, 24, 0xc00c, 0xc00c, serial >> 16, serial, 0, 0, 0, 0, 0, 0, 0, 0);
    for (int i = 0; i < engines.length; i++) {
      String[] engine = engines[i].split(" ", -1);
      putOwner(out, targets[i], engine);
      putShorts(out, 1, 1, 0, 5, 4);
      for (String part : engine[2].split(":", -1)[0].split("\\.", -1)) {
        out.write(Integer.parseInt(part));
      }
      ByteArrayOutputStream texts = new ByteArrayOutputStream();
      putLabel(texts, "kind=" + engine[4]);
      putLabel(texts, "cell=" + engine[5]);
      putLabel(texts, "started=" + engine[6]);
      putOwner(out, targets[i], engine);
      putShorts(out, 16, 1, 0, 5, texts.size());
      out.writeBytes(texts.toByteArray());
    }
    return out.toByteArray();
  }

  /** Returns the offset of the end of the record with the serial, in an answer with one engine. */
  public static int serialEnd(byte[] answer) {
    int headerAndQuestion = Dns.encodeQuery(0).length;
    int serviceRecord = headerAndQuestion + 12 + readShort(answer, headerAndQuestion + 10);
    return serviceRecord + 12 + 24;
  }

  /** Returns the id of a query, which its answer must repeat. */
  public static int queryId(byte[] query) {
    return readShort(query, 0);
  }

  private static int readShort(byte[] bytes, int offset) {
    return ((bytes[offset] & 255) << 8) | (bytes[offset + 1] & 255);
  }

  /**
   * Writes the owner name of a record: a pointer to the name, or the name itself if its offset is
   * too large for the 14 bits of a pointer.
   */
  private static void putOwner(ByteArrayOutputStream out, int target, String[] engine) {
    if (target < 0x4000) {
      putShorts(out, 0xc000 | target);
    } else {
      putName(out, engine);
    }
  }

  private static void putName(ByteArrayOutputStream out, String[] engine) {
    putLabel(out, engine[0]);
    putLabel(out, engine[3]);
    putLabel(out, "hosts");
    out.write(0);
  }

  /** Writes 16-bit numbers, high byte first. */
  private static void putShorts(ByteArrayOutputStream out, int... values) {
    for (int value : values) {
      out.write(value >> 8);
      out.write(value);
    }
  }

  /** Writes a label or text with its length in one byte before it. */
  private static void putLabel(ByteArrayOutputStream out, String text) {
    out.write(text.length());
    out.writeBytes(text.getBytes(StandardCharsets.UTF_8));
  }
}
