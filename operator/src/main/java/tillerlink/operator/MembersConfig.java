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
 * The block <code>members</code>: which fleet this gateway belongs to, and how it finds the others.
 *
 * @param fleet the name of the fleet; messages of other fleets are dropped
 * @param site the site of this gateway
 * @param listen where other gateways reach it over UDP, as host:port; see {@link Addresses}
 * @param seeds addresses of gateways to contact first; its own may be among them
 * @param secretFile the file with the secret that authenticates members; null for none
 * @param reach by gateway, the address at which this one reaches it, if it differs from the
 *     advertised one
 * @param probeEvery the probe interval, in tenths of a millisecond
 */
public record MembersConfig(
    String fleet,
    String site,
    String listen,
    List<String> seeds,
    String secretFile,
    Map<String, String> reach,
    long probeEvery) {
  private static final int MAX_SEEDS = 64;
  private static final int MAX_REACH = 1024;
  private static final int MIN_SECRET_BYTES = 16;
  private static final int MAX_SECRET_BYTES = 4096;

  static MembersConfig read(Section section) {
    if (section == null) {
      return null;
    }
    MembersConfig members =
        new MembersConfig(
            NameRules.read(section, "fleet"),
            NameRules.read(section, "site"),
            Addresses.read(section, "listen"),
            Addresses.list(section, "seeds", MAX_SEEDS),
            section.textOrNull("secret_file"),
            reach(section),
            Math.round(section.number("probe_ms", 50, 60_000, 500) * Units.TENTHS_PER_MS));
    section.close();
    return members;
  }

  private static Map<String, String> reach(Section members) {
    Map<String, String> reach = new TreeMap<>();
    for (Section section : members.all("reach")) {
      String name = NameRules.label(section);
      if (reach.putIfAbsent(name, Addresses.read(section, "at")) != null) {
        section.fault("a second reach '" + name + "'");
      }
      section.close();
    }
    if (reach.size() > MAX_REACH) {
      members.fault("more than " + MAX_REACH + " reach in " + members);
    }
    return Collections.unmodifiableMap(reach);
  }

  /**
   * Reads the fleet's secret from its file, without trailing line ends and blanks; null if none is
   * set.
   *
   * @throws IOException if it can't be read, or is too short or too long
   */
  public byte[] secret() throws IOException {
    if (secretFile == null) {
      return null;
    }
    Path file = Path.of(secretFile);
    if (!Files.isRegularFile(file) || !Files.isReadable(file)) {
      throw new IOException(secretFile + ": there is no secret to be read there");
    }
    if (Files.size(file) > MAX_SECRET_BYTES) {
      throw new IOException(secretFile + ": a secret of more than " + MAX_SECRET_BYTES + " bytes");
    }
    byte[] bytes = Files.readAllBytes(file);
    int length = bytes.length;
    while (length > 0
        && (bytes[length - 1] == '\n' || bytes[length - 1] == '\r' || bytes[length - 1] == ' ')) {
      length--;
    }
    if (length < MIN_SECRET_BYTES) {
      throw new IOException(
          secretFile
              + ": a secret of "
              + length
              + " bytes; it wants "
              + MIN_SECRET_BYTES
              + " at the least");
    }
    return Arrays.copyOf(bytes, length);
  }
}
