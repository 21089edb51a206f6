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
 * The settings of the block {@code members}: the fleet that this gateway belongs to, and how it
 * finds the other gateways.
 *
 * @param fleet the name of the fleet; messages of other fleets are dropped
 * @param site the site of this gateway
 * @param listen the address at which other gateways reach this one over UDP, as host:port; see
 *     {@link Addresses}
 * @param seeds the addresses of gateways to contact first; may include the address of this gateway
 * @param secretFile the file with the secret that authenticates members; null if members are not
 *     authenticated
 * @param reach addresses by gateway name, for gateways that this one reaches at another address
 *     than the advertised one
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

  /**
   * Reads the block.
   *
   * @return null if the block is absent
   */
  static MembersConfig read(Section section) {
    if (section == null) {
      return null;
    }
    MembersConfig members =
        new MembersConfig(
            NameRules.read(section, "fleet"),
            NameRules.read(section, "site"),
            Addresses.read(section, "listen"),
            Addresses.readList(section, "seeds", MAX_SEEDS),
            section.stringOrNull("secret_file"),
            readReach(section),
            Math.round(section.number("probe_ms", 50, 60_000, 500) * Units.TENTHS_PER_MS));
    section.reportUnknown();
    return members;
  }

  /** Returns the addresses of the blocks {@code reach}, by gateway name. */
  private static Map<String, String> readReach(Section members) {
    Map<String, String> reach = new TreeMap<>();
    for (Section section : members.blocks("reach")) {
      String name = NameRules.readLabel(section);
      if (reach.putIfAbsent(name, Addresses.read(section, "at")) != null) {
        section.error("duplicate reach '" + name + "'");
      }
      section.reportUnknown();
    }
    if (reach.size() > MAX_REACH) {
      members.error(
          reach.size() + " 'reach' blocks in " + members + ", expected at most " + MAX_REACH);
    }
    return Collections.unmodifiableMap(reach);
  }

  /**
   * Reads the fleet's secret from its file, without trailing line ends and spaces.
   *
   * @return null if no secret file is configured
   * @throws IOException if the file cannot be read or exceeds 4096 bytes, or if the secret is
   *     shorter than 16 bytes
   */
  public byte[] secret() throws IOException {
    if (secretFile == null) {
      return null;
    }
    Path file = Path.of(secretFile);
    if (!Files.isRegularFile(file) || !Files.isReadable(file)) {
      throw new IOException(secretFile + ": secret file does not exist or is not readable");
    }
    if (Files.size(file) > MAX_SECRET_BYTES) {
      throw new IOException(secretFile + ": secret file exceeds " + MAX_SECRET_BYTES + " bytes");
    }
    byte[] bytes = Files.readAllBytes(file);
    int length = bytes.length;
    while (length > 0
        && (bytes[length - 1] == '\n' || bytes[length - 1] == '\r' || bytes[length - 1] == ' ')) {
      length--;
    }
    if (length < MIN_SECRET_BYTES) {
      throw new IOException(
          secretFile + ": secret has " + length + " bytes, expected at least " + MIN_SECRET_BYTES);
    }
    return Arrays.copyOf(bytes, length);
  }
}
