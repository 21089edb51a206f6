package tillerlink.peering;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How this gateway takes part in a fleet.
 *
 * @param fleet the fleet's name
 * @param site where this gateway stands
 * @param listen host:port at which others reach it by UDP; the host is written out
 * @param seeds addresses of some members; its own may be among them
 * @param secret what messages are sealed with, or null
 * @param reach by name, where another is reached if not at the address that it tells of itself
 * @param probeEvery between two probes, in tenths of a millisecond
 * @param folder where it keeps what outlives it, or null
 * @param keepMost bytes that may be kept there
 */
public record PeeringConfig(
    String fleet,
    String site,
    String listen,
    List<String> seeds,
    byte[] secret,
    Map<String, String> reach,
    long probeEvery,
    Path folder,
    long keepMost) {
  public PeeringConfig {
    seeds = List.copyOf(seeds);
    reach = new TreeMap<>(reach);
    secret = secret == null ? null : secret.clone();
  }
}
