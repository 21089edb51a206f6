package tillerlink.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The part <code>members</code>: which fleet this gateway belongs to, and how it finds the others.
 *
 * @param fleet the fleet's name: what others of another name send is not taken
 * @param site where this gateway stands
 * @param listen where it is reached by other gateways, over UDP; host:port as {@link Addresses}
 *     takes it
 * @param seeds addresses at which others may be met first; its own may be among them
 * @param secretFile holds what peers are authenticated by; null if they are not
 * @param reach by a gateway's name, the address at which this one reaches it, where that is another
 *     than the one which it tells of itself
 * @param probeEvery between two probes, in tenths of a millisecond
 */
public record Members(
    String fleet,
    String site,
    String listen,
    List<String> seeds,
    String secretFile,
    Map<String, String> reach,
    long probeEvery) {
  private static final int SEEDS_MOST = 64;
  private static final int REACH_MOST = 1024;
  private static final int SECRET_LEAST = 16;
  private static final int SECRET_MOST = 4096;

  static Members read(Section section) {
    if (section == null) {
      return null;
    }
    Members members =
        new Members(
            Names.read(section, "fleet"),
            Names.read(section, "site"),
            Addresses.read(section, "listen"),
            Addresses.list(section, "seeds", SEEDS_MOST),
            section.textOrNull("secret_file"),
            reach(section),
            Math.round(section.number("probe_ms", 50, 60_000, 500) * Units.TENTHS_PER_MS));
    section.close();
    return members;
  }

  private static Map<String, String> reach(Section members) {
    Map<String, String> reach = new TreeMap<>();
    for (Section section : members.all("reach")) {
      String name = Names.label(section);
      if (reach.putIfAbsent(name, Addresses.read(section, "at")) != null) {
        section.fault("a second reach '" + name + "'");
      }
      section.close();
    }
    if (reach.size() > REACH_MOST) {
      members.fault("more than " + REACH_MOST + " reach in " + members);
    }
    return Collections.unmodifiableMap(reach);
  }

  /**
   * The fleet's secret, read anew: the file's bytes without line ends and blanks behind them; null
   * if none is set.
   *
   * @throws IOException in words for the operator: it can't be read, or is too short or too long to
   *     be one
   */
  public byte[] secret() throws IOException {
    if (secretFile == null) {
      return null;
    }
    Path file = Path.of(secretFile);
    if (!Files.isRegularFile(file) || !Files.isReadable(file)) {
      throw new IOException(secretFile + ": there is no secret to be read there");
    }
    if (Files.size(file) > SECRET_MOST) {
      throw new IOException(secretFile + ": a secret of more than " + SECRET_MOST + " bytes");
    }
    byte[] bytes = Files.readAllBytes(file);
    int length = bytes.length;
    while (length > 0
        && (bytes[length - 1] == '\n' || bytes[length - 1] == '\r' || bytes[length - 1] == ' ')) {
      length--;
    }
    if (length < SECRET_LEAST) {
      throw new IOException(
          secretFile
              + ": a secret of "
              + length
              + " bytes; it wants "
              + SECRET_LEAST
              + " at the least");
    }
    return Arrays.copyOf(bytes, length);
  }
}
